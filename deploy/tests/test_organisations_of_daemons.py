"""Tests of what a real daemon does with API keys, by raw HTTP.

They need no type of the product.
"""

import asyncio
import contextlib

from deploy.tests import daemons
from deploy.tests import raw_http

_KEY = "2thhkm1stkey"
_REMOVED_KEY = "rcpihh2ndkey"
_UNKNOWN_KEY = "neverissuedkey"
_NAME = "pulo 780"
_ADOPTION_LIMIT_S = 10.0
_POLL_S = 0.05


async def _exchange(
    address: tuple[str, int],
    request_id: str,
    *fields: str,
    path: str = raw_http.PATH,
) -> bytes:
    """Returns all bytes of the answer to a request."""
    reader, writer = await asyncio.open_connection(*address)
    with contextlib.closing(writer):
        lines = (
            f"GET {path} HTTP/1.1",
            f"Host: {raw_http.HOST}",
            f"X-Request-Id: {request_id}",
            "X-Deadline-Ms: 8000",
            "Connection: close",
            *fields,
        )
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        return await reader.read()


def _status(answer: bytes) -> int:
    return int(answer.split(b" ")[1])


async def _wait_for_version(vm: daemons.Vm, version: int) -> None:
    async with asyncio.timeout(_ADOPTION_LIMIT_S):
        while not any(
            event["event"] == "configuration-adopted"
            and event["version"] == version
            for event in vm.events()
        ):
            await asyncio.sleep(_POLL_S)


def test_key_is_neither_logged_nor_forwarded(tmp_path):
    """Guards against keys in a log, on the metrics page or at a target."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["archive"]) as fleet:
            (vm,) = fleet.vms
            outputs = []

            async def get(
                request_id: str, *fields: str, path: str = raw_http.PATH
            ) -> int:
                answer = await _exchange(
                    vm.caller_address, request_id, *fields, path=path
                )
                outputs.append(answer)
                return _status(answer)

            credential = f"X-Credential: {_KEY}"
            removed = f"X-Credential: {_REMOVED_KEY}"
            forged = "X-Tenant: forged"
            # Before there are organisations, both headers pass.
            assert await get("r0", "X-Credential: k", "X-Tenant: t") == 200
            head = vm.target.heads[-1]
            assert (head["x-credential"], head["x-tenant"]) == ("k", "t")

            keys = [_KEY, _REMOVED_KEY]
            fleet.write_configuration(2, [{"name": _NAME, "api_keys": keys}])
            await _wait_for_version(vm, 2)
            vm.target.heads.clear()
            assert await get("r1", credential, forged) == 200
            assert await get("r2", removed) == 200
            assert await get("r3", f"X-Credential: {_UNKNOWN_KEY}") == 401
            assert await get("r4") == 401
            assert await get("r5", credential, credential) == 401
            assert await get("r6", credential, f" {_KEY}") == 401
            assert await get("r7", "X-Credential:") == 401
            exempt_path = f"{daemons.EXEMPT_PATH}1"
            assert await get("r8", credential, forged, path=exempt_path) == 200
            assert await get("r9", credential, path="/nowhere") == 404

            fleet.write_configuration(3, [{"name": _NAME, "api_keys": [_KEY]}])
            await _wait_for_version(vm, 3)
            fleet.write_configuration(2, [{"name": _NAME, "api_keys": keys}])
            assert await get("r10", removed) == 401
            assert await get("r11", credential) == 200

            heads = list(vm.target.heads)
            assert [head["x-request-id"] for head in heads] == [
                "r1",
                "r2",
                "r8",
                "r11",
            ]
            assert [head.get("x-tenant") for head in heads] == [
                _NAME,
                _NAME,
                None,
                _NAME,
            ]
            reasons = {
                event["request"]: event["reason"]
                for event in vm.events()
                if event["event"] == "request-unauthorised"
            }
            assert reasons == {
                "r3": "unknown",
                "r4": "missing",
                "r5": "repeated",
                "r6": "folded",
                "r7": "empty",
                "r10": "unknown",
            }
            metrics_page = await _exchange(
                (vm.host, daemons.METRICS_PORT), "m", path="/metrics"
            )
            assert b"ingress_unauthorised_folded_total 1.0" in metrics_page
            outputs.extend(
                (metrics_page, vm.log.read_bytes(), repr(heads).encode())
            )
            for output in outputs:
                for key in (_KEY, _REMOVED_KEY, _UNKNOWN_KEY):
                    assert key.encode() not in output
            assert not vm.has_ended()

    asyncio.run(play())
