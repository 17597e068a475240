"""HTTP client library for callers and operators of a cell."""

from cassiahold.client.callers import CallerClient, Live, LiveAnswer
from cassiahold.client.operators import OperatorClient

__all__ = ('CallerClient', 'Live', 'LiveAnswer', 'OperatorClient')
