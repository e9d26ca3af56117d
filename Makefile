PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
# Of the packages, the kind of machine and the version of Python, so that an
# environment that was carried over is made anew.
STAMP := $(VENV)/.installed-$(shell (cat requirements.lock pyproject.toml; \
	uname -sm; $(PYTHON) --version) 2>/dev/null | sha256sum | cut -c1-16)

.PHONY: demo test bench format generate clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo $(DEMO)

test: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy mustardloom bench soak deploy conftest.py
	$(BIN)/lint-imports
	@sed 's/^/known red: /' KNOWN-RED.txt
	$(BIN)/python -m pytest

bench: $(STAMP)
	$(BIN)/python -m bench $(SCENARIO)

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: $(STAMP)
	PATH="$(abspath $(BIN)):$$PATH" python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. mustardloom/relay/wire/peer.proto

clean:
	rm -rf $(VENV) build *.egg-info
