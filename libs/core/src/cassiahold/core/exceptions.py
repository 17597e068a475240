"""Error kinds, the response to each, and the exceptions that carry them."""

import enum
import typing

import msgspec


class ErrorKind(enum.Enum):
    """All reasons for which the system refuses or fails a request.

    The values are part of the HTTP interface and of the logs.
    """

    BAD_REQUEST = 'bad_request'
    BAD_SETTINGS = 'bad_settings'
    BAD_CONFIGURATION = 'bad_configuration'
    CANNOT_BIND = 'cannot_bind'
    STORAGE_FAILED = 'storage_failed'
    UNKNOWN_KEY = 'unknown_key'
    WRONG_TEAM = 'wrong_team'
    NOT_FOUND = 'not_found'
    JOB_UNKNOWN = 'job_unknown'
    NOT_CONFIGURED = 'not_configured'
    REQUEST_ID_REUSED = 'request_id_reused'
    VERSION_CONFLICT = 'version_conflict'
    NEVER_FITS = 'never_fits'
    OVERLOADED = 'overloaded'
    DEADLINE_TOO_SHORT = 'deadline_too_short'
    DEADLINE_PASSED = 'deadline_passed'
    LEAVING = 'leaving'
    CONFIGURATION_EXPIRED = 'configuration_expired'
    NO_QUORUM = 'no_quorum'
    UNREACHABLE = 'cut_off'
    NO_TARGET = 'no_target'
    TARGET_FAILED = 'target_failed'
    RESPONSE_TRUNCATED = 'answer_cut_short'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    TOO_LARGE = 'too_large'
    STALE_TERM = 'stale_term'
    INVARIANT_BROKEN = 'invariant_broken'
    INTERNAL = 'internal'


class ExecutionStatus(enum.Enum):
    """Whether the work of a failed request may have been executed."""

    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'


class RetryAdvice(enum.Enum):
    """Whether and how a caller may retry a failed request."""

    DO_NOT_RETRY = 'do not retry'
    RETRY_LATER = 'retry later'
    SAME_REQUEST_ID = 'resend with the same request id'


class ErrorResponse(msgspec.Struct, frozen=True):
    """How one error kind is reported on each interface."""

    http_status: int
    grpc_status: str
    execution: ExecutionStatus
    retry: RetryAdvice
    meaning: str


def _response(
    http_status: int,
    grpc_status: str,
    meaning: str,
    *,
    execution: ExecutionStatus = ExecutionStatus.NOT_RUN,
    retry: RetryAdvice = RetryAdvice.DO_NOT_RETRY,
) -> ErrorResponse:
    return ErrorResponse(http_status, grpc_status, execution, retry, meaning)


RESPONSE_BY_KIND: typing.Final = {
    ErrorKind.BAD_REQUEST: _response(
        400, 'INVALID_ARGUMENT', 'The request is malformed.'
    ),
    ErrorKind.BAD_SETTINGS: _response(
        500, 'FAILED_PRECONDITION', 'A settings file cannot be accepted.'
    ),
    ErrorKind.BAD_CONFIGURATION: _response(
        422, 'INVALID_ARGUMENT', 'The configuration is inconsistent.'
    ),
    ErrorKind.CANNOT_BIND: _response(
        500, 'UNAVAILABLE', 'A listening address cannot be used.'
    ),
    ErrorKind.STORAGE_FAILED: _response(
        500,
        'DATA_LOSS',
        'The data folder cannot be read, written or synced.',
        execution=ExecutionStatus.MAY_HAVE_RUN,
        retry=RetryAdvice.SAME_REQUEST_ID,
    ),
    ErrorKind.UNKNOWN_KEY: _response(
        401, 'UNAUTHENTICATED', 'The key is missing, unknown or withdrawn.'
    ),
    ErrorKind.WRONG_TEAM: _response(
        403, 'PERMISSION_DENIED', 'The key belongs to another team.'
    ),
    ErrorKind.NOT_FOUND: _response(
        404, 'NOT_FOUND', 'The named object does not exist.'
    ),
    ErrorKind.JOB_UNKNOWN: _response(
        404, 'NOT_FOUND', 'The queue exists, the job does not.'
    ),
    ErrorKind.NOT_CONFIGURED: _response(
        503,
        'UNAVAILABLE',
        'The cell has no configuration yet.',
        retry=RetryAdvice.RETRY_LATER,
    ),
    ErrorKind.REQUEST_ID_REUSED: _response(
        409, 'ALREADY_EXISTS', 'The request id names different work.'
    ),
    ErrorKind.VERSION_CONFLICT: _response(
        409, 'ABORTED', 'The change was made from an outdated version.'
    ),
    ErrorKind.NEVER_FITS: _response(
        422, 'FAILED_PRECONDITION', 'No worker or limit can ever hold it.'
    ),
    ErrorKind.OVERLOADED: _response(
        429,
        'RESOURCE_EXHAUSTED',
        'A queue is full.',
        retry=RetryAdvice.RETRY_LATER,
    ),
    ErrorKind.DEADLINE_TOO_SHORT: _response(
        429,
        'RESOURCE_EXHAUSTED',
        'The work cannot be served before its deadline.',
    ),
    ErrorKind.DEADLINE_PASSED: _response(
        504,
        'DEADLINE_EXCEEDED',
        'The deadline passed before the work was sent.',
    ),
    ErrorKind.LEAVING: _response(
        503,
        'UNAVAILABLE',
        'The process is shutting down.',
        retry=RetryAdvice.RETRY_LATER,
    ),
    ErrorKind.CONFIGURATION_EXPIRED: _response(
        503,
        'UNAVAILABLE',
        'The configuration lease has expired; requests with keys are refused.',
        retry=RetryAdvice.RETRY_LATER,
    ),
    ErrorKind.NO_QUORUM: _response(
        503,
        'UNAVAILABLE',
        'The group has no leader.',
        retry=RetryAdvice.RETRY_LATER,
    ),
    ErrorKind.UNREACHABLE: _response(
        503,
        'UNAVAILABLE',
        'The data centre that owns the work cannot be reached.',
        retry=RetryAdvice.RETRY_LATER,
    ),
    ErrorKind.NO_TARGET: _response(
        503,
        'UNAVAILABLE',
        'No target offers the service.',
        retry=RetryAdvice.RETRY_LATER,
    ),
    ErrorKind.TARGET_FAILED: _response(
        502,
        'UNKNOWN',
        'The target failed after the request was sent.',
        execution=ExecutionStatus.MAY_HAVE_RUN,
    ),
    ErrorKind.RESPONSE_TRUNCATED: _response(
        502,
        'DATA_LOSS',
        'The response was truncated.',
        execution=ExecutionStatus.MAY_HAVE_RUN,
    ),
    ErrorKind.OUTCOME_UNKNOWN: _response(
        504,
        'UNKNOWN',
        'The group did not confirm the request in time.',
        execution=ExecutionStatus.MAY_HAVE_RUN,
        retry=RetryAdvice.SAME_REQUEST_ID,
    ),
    ErrorKind.TOO_LARGE: _response(
        413, 'OUT_OF_RANGE', 'The request is larger than allowed.'
    ),
    ErrorKind.STALE_TERM: _response(
        409, 'FAILED_PRECONDITION', 'The sender has been superseded.'
    ),
    ErrorKind.INVARIANT_BROKEN: _response(
        500,
        'INTERNAL',
        'An invariant of the system does not hold.',
        execution=ExecutionStatus.MAY_HAVE_RUN,
    ),
    ErrorKind.INTERNAL: _response(
        500,
        'INTERNAL',
        'An unexpected error occurred.',
        execution=ExecutionStatus.MAY_HAVE_RUN,
        retry=RetryAdvice.SAME_REQUEST_ID,
    ),
}


class RetryHint(msgspec.Struct, frozen=True):
    """What the place that refused a request knows about a later try.

    Attributes:
        earliest_s: Time after which a try has a fair chance.
        drain_rate_per_s: Requests served per second then, 0 if unknown.
        service_s: How long serving the request takes, 0 if unknown.
        resource: Name of what is short, if several things can be.
    """

    earliest_s: float
    drain_rate_per_s: float = 0.0
    service_s: float = 0.0
    resource: str = ''


class RetryAfter(msgspec.Struct, frozen=True):
    """The pause before another try that a refused caller is told.

    ``whole_s`` is the pause in whole seconds, None if none is in time.
    """

    delay_s: float
    whole_s: int | None = None


MAX_DETAIL_LENGTH: typing.Final = 1000  # characters


class CassiaholdError(Exception):
    """An error that is reported to a caller or an operator by its kind.

    ``detail`` names the offending value and what was expected instead; it is
    cut at ``MAX_DETAIL_LENGTH``.
    ``hint`` comes from the place that refused the request; ``retry_after``
    and ``retry_advice`` are what its caller is told.
    """

    def __init__(
        self, kind: ErrorKind, detail: str, hint: RetryHint | None = None
    ) -> None:
        self.detail = detail[:MAX_DETAIL_LENGTH]
        super().__init__(f'{kind.value}: {self.detail}')
        self.kind = kind
        self.hint = hint
        self.retry_after: RetryAfter | None = None
        self.retry_advice = RESPONSE_BY_KIND[kind].retry

    @property
    def response(self) -> ErrorResponse:
        """Return how this kind of error is reported."""
        return RESPONSE_BY_KIND[self.kind]


def kind_name(exc: Exception) -> str:
    """Return the kind of any exception, as it is logged."""
    if isinstance(exc, CassiaholdError):
        return exc.kind.value
    return type(exc).__name__


def detail_of(exc: Exception) -> str:
    """Return the detail of any exception, as it is logged."""
    return exc.detail if isinstance(exc, CassiaholdError) else str(exc)


class DiskFullError(CassiaholdError):
    """A write that failed for lack of room, before any sync of it.

    Nothing that was synced earlier is affected.  ``needed_bytes`` is the
    size of the write.
    """

    def __init__(self, detail: str, needed_bytes: int) -> None:
        super().__init__(ErrorKind.STORAGE_FAILED, detail)
        self.needed_bytes = needed_bytes


class InvariantError(CassiaholdError):
    """An operation that would violate one of the system's invariants.

    ``property_number`` identifies the invariant.
    """

    def __init__(self, property_number: int, detail: str) -> None:
        super().__init__(
            ErrorKind.INVARIANT_BROKEN,
            f'property {property_number}: {detail}',
        )
        self.property_number = property_number
