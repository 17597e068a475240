"""Retry budget and backoff, so that retries cannot multiply the load."""

import random

import msgspec

RETRIES_PER_REQUEST = 0.1
MAX_BALANCE = 50.0
BASE_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5


class RetryBudget(msgspec.Struct):
    """Limits retries to a fraction of the requests.

    Each request deposits ``RETRIES_PER_REQUEST``; each retry withdraws 1.
    """

    balance: float = 10.0

    def deposit(self) -> None:
        """Count a request that is not a retry."""
        self.balance = min(self.balance + RETRIES_PER_REQUEST, MAX_BALANCE)

    def try_withdraw(self) -> bool:
        """Pay for one retry; return False when the balance is too low."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def backoff_s(retry: int, rng: random.Random) -> float:
    """Return the pause before a retry, exponential with full jitter."""
    longest_s = min(BASE_BACKOFF_S * 2**retry, MAX_BACKOFF_S)
    return rng.uniform(0, longest_s)
