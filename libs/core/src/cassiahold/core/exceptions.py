"""The closed list of error kinds and the answer that each one gets."""

import enum
import typing

import msgspec


class ErrorKind(enum.Enum):
    """Every way in which the system refuses or fails a request."""

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
    """Whether the work behind a failed request can have taken effect."""

    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'


class RetryAdvice(enum.Enum):
    """What a caller may do after a failure."""

    NO = 'do not retry'
    LATER = 'retry later'
    SAME_ID = 'resend with the same request id'


class ErrorResponse(msgspec.Struct, frozen=True):
    """How one error kind is answered on each interface."""

    http_status: int
    grpc_status: str
    execution: ExecutionStatus
    retry: RetryAdvice
    meaning: str


def _answer(
    http_status: int,
    grpc_status: str,
    meaning: str,
    *,
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
    retry: RetryAdvice = RetryAdvice.NO,
) -> ErrorResponse:
    return ErrorResponse(http_status, grpc_status, ran, retry, meaning)


RESPONSE_BY_KIND: typing.Final = {
    ErrorKind.BAD_REQUEST: _answer(
        400, 'INVALID_ARGUMENT', 'The request is malformed.'
    ),
    ErrorKind.BAD_SETTINGS: _answer(
        500, 'FAILED_PRECONDITION', 'A settings file cannot be accepted.'
    ),
    ErrorKind.BAD_CONFIGURATION: _answer(
        422, 'INVALID_ARGUMENT', 'The configuration is inconsistent.'
    ),
    ErrorKind.CANNOT_BIND: _answer(
        500, 'UNAVAILABLE', 'A listening address cannot be used.'
    ),
    ErrorKind.STORAGE_FAILED: _answer(
        500,
        'DATA_LOSS',
        'The data folder cannot be read, written or synced.',
        ran=ExecutionStatus.MAY_HAVE_RUN,
        retry=RetryAdvice.SAME_ID,
    ),
    ErrorKind.UNKNOWN_KEY: _answer(
        401, 'UNAUTHENTICATED', 'The key is missing, unknown or withdrawn.'
    ),
    ErrorKind.WRONG_TEAM: _answer(
        403, 'PERMISSION_DENIED', 'The key belongs to another team.'
    ),
    ErrorKind.NOT_FOUND: _answer(
        404, 'NOT_FOUND', 'The named thing does not exist.'
    ),
    ErrorKind.JOB_UNKNOWN: _answer(
        404, 'NOT_FOUND', 'The queue exists, the job does not.'
    ),
    ErrorKind.NOT_CONFIGURED: _answer(
        503,
        'UNAVAILABLE',
        'The cell has no configuration yet.',
        retry=RetryAdvice.LATER,
    ),
    ErrorKind.REQUEST_ID_REUSED: _answer(
        409, 'ALREADY_EXISTS', 'The request id names different work.'
    ),
    ErrorKind.VERSION_CONFLICT: _answer(
        409, 'ABORTED', 'The change was made from an outdated version.'
    ),
    ErrorKind.NEVER_FITS: _answer(
        422, 'FAILED_PRECONDITION', 'No worker or limit can ever hold it.'
    ),
    ErrorKind.OVERLOADED: _answer(
        429, 'RESOURCE_EXHAUSTED', 'A queue is full.', retry=RetryAdvice.LATER
    ),
    ErrorKind.DEADLINE_PASSED: _answer(
        504, 'DEADLINE_EXCEEDED', 'The deadline passed before it was sent.'
    ),
    ErrorKind.LEAVING: _answer(
        503, 'UNAVAILABLE', 'This process is leaving.', retry=RetryAdvice.LATER
    ),
    ErrorKind.CONFIGURATION_EXPIRED: _answer(
        503,
        'UNAVAILABLE',
        'The configuration lease has lapsed; keyed work is refused.',
        retry=RetryAdvice.LATER,
    ),
    ErrorKind.NO_QUORUM: _answer(
        503, 'UNAVAILABLE', 'The group has no leader.', retry=RetryAdvice.LATER
    ),
    ErrorKind.UNREACHABLE: _answer(
        503,
        'UNAVAILABLE',
        'The data centre that owns it cannot be reached.',
        retry=RetryAdvice.LATER,
    ),
    ErrorKind.NO_TARGET: _answer(
        503,
        'UNAVAILABLE',
        'No target offers the service.',
        retry=RetryAdvice.LATER,
    ),
    ErrorKind.TARGET_FAILED: _answer(
        502,
        'UNKNOWN',
        'The target failed after the request was sent.',
        ran=ExecutionStatus.MAY_HAVE_RUN,
    ),
    ErrorKind.RESPONSE_TRUNCATED: _answer(
        502,
        'DATA_LOSS',
        'The answer ended early.',
        ran=ExecutionStatus.MAY_HAVE_RUN,
    ),
    ErrorKind.OUTCOME_UNKNOWN: _answer(
        504,
        'UNKNOWN',
        'The group did not confirm in time.',
        ran=ExecutionStatus.MAY_HAVE_RUN,
        retry=RetryAdvice.SAME_ID,
    ),
    ErrorKind.TOO_LARGE: _answer(
        413, 'OUT_OF_RANGE', 'The request is larger than allowed.'
    ),
    ErrorKind.STALE_TERM: _answer(
        409, 'FAILED_PRECONDITION', 'The sender has been superseded.'
    ),
    ErrorKind.INVARIANT_BROKEN: _answer(
        500,
        'INTERNAL',
        'An invariant of the system does not hold.',
        ran=ExecutionStatus.MAY_HAVE_RUN,
    ),
    ErrorKind.INTERNAL: _answer(
        500,
        'INTERNAL',
        'An unexpected fault.',
        ran=ExecutionStatus.MAY_HAVE_RUN,
        retry=RetryAdvice.SAME_ID,
    ),
}


class CassiaholdError(Exception):
    """An error with a kind from the closed list.

    ``detail`` names the offending value and what was expected instead.
    """

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(f'{kind.value}: {detail}')
        self.kind = kind
        self.detail = detail

    @property
    def response(self) -> ErrorResponse:
        """Return the row of the table for this kind."""
        return RESPONSE_BY_KIND[self.kind]


class InvariantError(CassiaholdError):
    """One of the properties that must always hold was about to break."""

    def __init__(self, property_number: int, detail: str) -> None:
        super().__init__(
            ErrorKind.INVARIANT_BROKEN,
            f'property {property_number}: {detail}',
        )
        self.property_number = property_number
