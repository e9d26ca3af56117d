"""Times that several checks of the gate share."""

__all__ = ["REFUSAL_DELAY_MS", "RETRY_AFTER_MS"]

# A refusal takes this long to reach the daemon that forwarded the request and
# must still tell the caller in time that nothing was run.
REFUSAL_DELAY_MS = 40
# Retry-After of refusals whose end cannot be computed.
RETRY_AFTER_MS = 300
