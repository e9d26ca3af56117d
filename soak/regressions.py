"""Seeds that once failed, each with the fault that caused it."""

__all__ = ["CAUSE_BY_SEED"]

CAUSE_BY_SEED = {
    3: "A call and its cancellation in one chunk left a coroutine behind",
    4: "A paused daemon counted as reachable after each new connection to it",
    5: "A call and its cancellation in one chunk left a coroutine behind",
}
