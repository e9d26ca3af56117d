"""Counts the crashes that a repeated poison request causes."""

from concurrent import futures
import dataclasses
import random
import time
import urllib.error
import urllib.request

from bench import deployments
from bench import fleet as fleet_lib
from bench import measurement
from bench import results
from bench import traffic
from mustardloom import request_ids

__all__ = ["run"]

_SERVICE_MS = 50
_LOAD_SHARE = 0.4
_WARM_UP_S = 4.0
_SENDS = 50
_SEND_PAUSE_S = 0.1
_DURATION_S = 20.0
_START_AT_S = 2.0
_DEADLINE_MS = 2_000
_POST_SHARE = 0.2
_SEED = 11
_NS_PER_MS = 1_000_000
_ANSWER_MARGIN_S = 1.0
_MS_PER_S = 1_000
_TARGET_OPTIONS = ["--restart-after-ms", "500"]
_DEFINITION = (
    "Kibanda example, 18 daemons and targets on loopback, one caller process "
    f"per region, open loop, {_LOAD_SHARE:.0%} of the capacity of the service "
    f"under test, targets of {_SERVICE_MS} ms mean service time that restart "
    f"500 ms after a crash. One request with POISON in its body is sent "
    f"{_SENDS} times, each after the end of the last one, to random "
    "ingresses: as POST with a new id each time (malipo), as POST for one key "
    "(salio), and as PUT, which may be retried and hedged (bidhaa). The "
    "figure is the largest number of target crashes of the three. Others "
    "answered: share of the other callers' requests, without resends."
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Case:
    """How the poison request is sent."""

    service: str
    method: str
    key_option: str = ""


_CASES = (
    _Case("malipo", "POST"),
    _Case("salio", "POST", ",key=X-Account"),
    _Case("bidhaa", "PUT"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Result:
    """Result of one case.

    Attributes:
      crashes: Number of target crashes.
      others: Report of the callers without poison.
      sends: Number of poison requests by outcome and reason.
    """

    crashes: int
    others: results.Combined
    sends: dict[str, int]


def run() -> measurement.Measurement:
    """Sends poison requests; returns the crashes of the worst case."""
    deployment = dataclasses.replace(
        deployments.BY_NAME["kibanda"], service_ms=_SERVICE_MS
    )
    options = dict.fromkeys(deployment.services, _TARGET_OPTIONS)
    with (
        fleet_lib.Fleet(deployment, target_options=options) as fleet,
        traffic.Session(fleet) as session,
    ):
        fleet.start()
        result_by_case = {
            case: _run_case(fleet, session, case) for case in _CASES
        }
        breaches = session.breaches()
    answered = sum(r.others.counts["answered"] for r in result_by_case.values())
    total = sum(result.others.total for result in result_by_case.values())
    figures: dict[str, float] = {
        "poison_target_crashes": max(
            r.crashes for r in result_by_case.values()
        ),
        "poison_others_answered_share": answered / total,
    }
    return measurement.Measurement(
        name="poison",
        definition=_DEFINITION,
        figures=figures | breaches,
        table=_table(result_by_case),
    )


def _run_case(
    fleet: fleet_lib.Fleet, session: traffic.Session, case: _Case
) -> _Result:
    session.run(_load(fleet, case, _WARM_UP_S))
    before = session.crashes()
    running = session.start(_load(fleet, case, _DURATION_S))
    with futures.ThreadPoolExecutor(1) as executor:
        sending = executor.submit(_send_all, fleet, case)
        others = running.finish()
        sends = sending.result()
    return _Result(session.crashes() - before, others, sends)


def _load(
    fleet: fleet_lib.Fleet, case: _Case, duration_s: float
) -> traffic.Load:
    service = case.service
    return traffic.Load(
        services=[f"{service}=/{service}/{{key}}{case.key_option}"],
        rate=_LOAD_SHARE * traffic.capacity_per_s(fleet, service),
        duration_s=duration_s,
        deadline_ms=_DEADLINE_MS,
        post_share=_POST_SHARE,
    )


def _send_all(fleet: fleet_lib.Fleet, case: _Case) -> dict[str, int]:
    source = random.Random(_SEED)
    time.sleep(_START_AT_S)
    sends: dict[str, int] = {}
    for _ in range(_SENDS):
        outcome = _send(source.choice(fleet.nodes), case, source)
        sends[outcome] = sends.get(outcome, 0) + 1
        time.sleep(_SEND_PAUSE_S)
    return sends


def _send(node: fleet_lib.Node, case: _Case, source: random.Random) -> str:
    """Sends one poison request; returns the outcome and reason."""
    request = urllib.request.Request(
        f"http://{node.caller_address}/{case.service}/poisoned",
        data=b"POISON",
        method=case.method,
    )
    wall_ms = time.time_ns() // _NS_PER_MS
    request.add_header("X-Account", "poisoned")
    request.add_header("X-Mustardloom-Deadline-Ms", str(_DEADLINE_MS))
    if case.method == "POST":
        request_id = request_ids.new_request_id(wall_ms, source.getrandbits)
        request.add_header("Idempotency-Key", request_id)
    timeout_s = _DEADLINE_MS / _MS_PER_S + _ANSWER_MARGIN_S
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return f"status {answer.status}"
    except urllib.error.HTTPError as error:
        outcome = error.headers.get("X-Mustardloom-Outcome", "")
        return f"{outcome} {error.headers.get('X-Mustardloom-Reason', '')}"
    except OSError as error:
        return type(error).__name__


def _table(result_by_case: dict[_Case, _Result]) -> tuple[tuple[str, ...], ...]:
    rows: list[tuple[str, ...]] = [
        ("case", "crashes", "poison sends", "others answered", "others not")
    ]
    for case, result in result_by_case.items():
        sends = (f"{name}: {n}" for name, n in sorted(result.sends.items()))
        reasons = sorted(result.others.reasons.items())
        rows.append(
            (
                f"{case.method} {case.service}",
                str(result.crashes),
                ", ".join(sends),
                f"{result.others.answered_share():.4f}",
                ", ".join(f"{name}: {count}" for name, count in reasons),
            )
        )
    rows.append(("load average", traffic.load_average(), "", "", ""))
    return tuple(rows)
