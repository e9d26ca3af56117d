"""Which outcomes may be followed by another attempt."""

from mustardloom import clock as clock_lib
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.routing import budgets

__all__ = [
    "RETRY_RATIO",
    "UNCHARGED_REASONS",
    "RetryPolicy",
    "merge_outcomes",
]

RETRY_RATIO = 0.1

_RETRY_BURST = 20.0
_Reason = outcomes.RefusalReason

# Refusals of a member that does not serve the request at present. They end
# once the slot map and the member view have caught up and cost no work at a
# target, so they are not charged to the budget: a planned stop would otherwise
# exhaust it.
UNCHARGED_REASONS = frozenset(
    {
        _Reason.NO_OWNER,
        _Reason.NOT_OWNER,
        _Reason.MOVED,
        _Reason.LEASE_LAPSED,
        _Reason.STOPPED,
        _Reason.TARGET_DOWN,
        _Reason.PEER_UNREACHABLE,
        _Reason.SHUTTING_DOWN,
    }
)

# Refusals of one gate that another gate need not share.
_OTHER_GATE_MAY_RUN = UNCHARGED_REASONS | {
    _Reason.OVERLOADED,
    _Reason.DEADLINE,
    _Reason.TARGET_REFUSED,
    _Reason.CANCELLED,
}


def merge_outcomes(
    earlier: outcomes.Outcome | None, latest: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns the outcome of a request after two of its attempts.

    A refusal does not undo an earlier attempt that may have run, so the
    request as a whole is still unknown.
    """
    match earlier, latest:
        case outcomes.Answered(), _:
            return earlier
        case outcomes.Unknown(), outcomes.Refused():
            return earlier
        case _:
            return latest


class RetryPolicy:
    """Decides on further attempts, within a budget of 10 % of the requests."""

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._budget = budgets.TokenBudget(RETRY_RATIO, _RETRY_BURST)

    def record_request(self) -> None:
        """Counts one request."""
        self._budget.earn()

    def is_safe(
        self, request: requests.Request, outcome: outcomes.Outcome
    ) -> bool:
        """Tells whether another attempt can do no harm and may help."""
        if self._clock.now_ms() >= request.deadline_ms:
            return False
        match outcome:
            case outcomes.Answered():
                return False
            case outcomes.Refused(reason=reason):
                return reason in _OTHER_GATE_MAY_RUN
            case outcomes.Unknown():
                return request.idempotent

    def allow_retry(
        self, request: requests.Request, outcome: outcomes.Outcome
    ) -> bool:
        """Tells whether to try again, and spends a token if that may add work.

        An attempt that may add work at a target costs one token.
        """
        if not self.is_safe(request, outcome):
            return False
        match outcome:
            case outcomes.Refused(reason=reason) if reason in UNCHARGED_REASONS:
                return True
            case _:
                return self._budget.try_take()
