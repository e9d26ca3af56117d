"""Configurations as the operator writes them."""

__all__ = ["HOST", "specification"]

HOST = "a.example"


def specification(
    service: str,
    kind: str,
    path: str,
    timeout_ms: int,
    is_keyed: bool = False,
) -> dict:
    """Returns a configuration with one route; `desk` has none.

    Args:
      service: Service of the route.
      kind: Kind of its requests.
      path: Prefix of their paths.
      timeout_ms: Time-out of the route.
      is_keyed: Whether the service is divided by key.
    """
    cluster = {
        "name": service,
        "health_path": "/health",
        "max_connections": 120,
        "protocol": "h1",
        "tls": False,
        "cold_start": "3s",
        "cold_per_s": 43.0,
    }
    if is_keyed:
        cluster |= {"sharded": True, "warm": "5s", "grants": "heartbeat"}
    return {
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "listeners": [
            {
                "host": HOST,
                "rules": [
                    {
                        "name": "r-1",
                        "kind": kind,
                        "target_latency": "300ms",
                        "priority": 1,
                        "match": {"path_prefix": path},
                        "action": {
                            "service": service,
                            "timeout": f"{timeout_ms}ms",
                            "max_attempts": 2,
                            "allowed_regions": [],
                        },
                    }
                ],
            }
        ],
        "clusters": [
            cluster,
            {
                "name": "desk",
                "health_path": "/health",
                "max_connections": 120,
                "protocol": "h1",
                "tls": False,
                "cold_start": "3s",
                "cold_per_s": 43.0,
            },
        ],
    }
