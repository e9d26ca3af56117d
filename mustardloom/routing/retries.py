"""Policy on retries: which outcomes permit another attempt."""

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

# Refusals by a member that can't serve the request at present. They end once
# the slot map and the member view are up to date and cause no work at a target,
# so they are not charged to the budget, which a planned stop would otherwise
# exhaust.
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

# Refusals by one gate after which another gate may run the request.
_OTHER_GATE_MAY_RUN = UNCHARGED_REASONS | {
    _Reason.OVERLOADED,
    _Reason.DEADLINE,
    _Reason.TARGET_REFUSED,
    _Reason.CANCELLED,
}


def merge_outcomes(
    earlier: outcomes.Outcome | None, latest: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns the outcome of a request after an earlier and a further attempt.

    After an attempt that may have run, a refusal leaves the outcome of the
    request unknown.
    """
    match earlier, latest:
        case outcomes.Answered(), _:
            return earlier
        case outcomes.Unknown(), outcomes.Refused():
            return earlier
        case _:
            return latest


class RetryPolicy:
    """Decides on retries, within a budget of `RETRY_RATIO` per request."""

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._budget = budgets.TokenBudget(RETRY_RATIO, _RETRY_BURST)

    def record_request(self) -> None:
        """Adds to the budget for one request."""
        self._budget.record_request()

    def is_safe(
        self, request: requests.Request, outcome: outcomes.Outcome
    ) -> bool:
        """Returns whether another attempt is safe and may succeed.

        That is so before the deadline, after a refusal that another gate may
        not give, or after an unknown outcome of an idempotent request.
        """
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
        """Returns whether to try again.

        Takes a token from the budget, except after a refusal for a reason in
        `UNCHARGED_REASONS`.
        """
        if not self.is_safe(request, outcome):
            return False
        match outcome:
            case outcomes.Refused(reason=reason) if reason in UNCHARGED_REASONS:
                return True
            case _:
                return self._budget.try_take()
