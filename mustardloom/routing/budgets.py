"""Token budget that limits extra attempts to a share of the requests."""

__all__ = ["TokenBudget"]


class TokenBudget:
    """Tokens for extra attempts: each request adds part of one.

    Each extra attempt takes a token. The budget starts empty, so that extra
    attempts never exceed `ratio` times the requests seen so far.

    Example:
      >>> budget = TokenBudget(ratio=0.5, burst=10)
      >>> budget.record_request()
      >>> budget.try_take()
      False
      >>> budget.record_request()
      >>> budget.try_take()
      True
    """

    def __init__(self, ratio: float, burst: float):
        """Creates an empty budget.

        Args:
          ratio: Tokens that each request adds.
          burst: Largest number of tokens that are kept.
        """
        self._ratio = ratio
        self._burst = burst
        self._tokens = 0.0

    def record_request(self) -> None:
        """Adds the tokens of one request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def can_take(self) -> bool:
        """Returns whether at least one token is left."""
        return self._tokens >= 1.0

    def try_take(self) -> bool:
        """Takes one token; returns False if none is left."""
        if not self.can_take():
            return False
        self._tokens -= 1.0
        return True
