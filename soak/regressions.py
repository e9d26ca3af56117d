"""Seeds that failed once, with the cause."""

__all__ = ["CAUSE_BY_SEED"]

CAUSE_BY_SEED = {
    3: "A call cancelled in the piece in which it came left a coroutine behind",
    4: "A paused daemon counted as up at each new connection to it",
    5: "A call cancelled in the piece in which it came left a coroutine behind",
}
