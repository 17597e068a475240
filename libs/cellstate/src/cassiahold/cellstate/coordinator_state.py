"""The coordinator group's state: configuration, keys and allotments."""

import functools
import hashlib
import typing

import msgspec

from cassiahold.cellstate.quotas import QuotaLedger, ResourceTotals
from cassiahold.config.checks import find_errors
from cassiahold.config.document import Configuration, Key
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import ChangeId, DataCentre, KeyId, TeamName

# Two days of changes at 9,400 a day, so that a late resend is recognised.
MAX_REMEMBERED_CHANGES: typing.Final = 20_000


class ApplyConfiguration(
    msgspec.Struct, frozen=True, array_like=True, tag='apply'
):
    """Replaces the configuration if it was made from ``base_version``."""

    change_id: ChangeId
    base_version: int
    configuration: Configuration


class GrantKey(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """Adds a key to a team."""

    change_id: ChangeId
    team: TeamName
    key: Key


class WithdrawKey(msgspec.Struct, frozen=True, array_like=True, tag='withdraw'):
    """Takes a key back for ever."""

    change_id: ChangeId
    key_id: KeyId


class ConfirmQuotaOffer(
    msgspec.Struct, frozen=True, array_like=True, tag='confirm'
):
    """A data centre runs within its offer of ``epoch``."""

    centre: DataCentre
    epoch: int


class RebalanceQuota(msgspec.Struct, frozen=True, array_like=True, tag='move'):
    """Changes where one team's limit should lie."""

    team: TeamName
    target_by_centre: dict[DataCentre, ResourceTotals]


Change = ApplyConfiguration | GrantKey | WithdrawKey
CoordinatorCommand = Change | ConfirmQuotaOffer | RebalanceQuota


class ChangeOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The first answer to a change; a resend gets it again.

    ``error`` is None when the change was accepted.
    """

    version: int
    fingerprint: str
    error: ErrorKind | None = None
    detail: str = ''


class Effective(msgspec.Struct, frozen=True):
    """The configuration with every key that may be used now."""

    version: int
    configuration: Configuration
    team_by_key: dict[KeyId, TeamName]
    key_by_id: dict[KeyId, Key]


class _GrantedKey(msgspec.Struct, frozen=True, array_like=True):
    team: TeamName
    key: Key


class _Kept(msgspec.Struct, array_like=True):
    version: int = 0
    configuration: Configuration = Configuration()
    granted_by_id: dict[KeyId, _GrantedKey] = msgspec.field(
        default_factory=dict
    )
    withdrawn: set[KeyId] = msgspec.field(default_factory=set)
    outcome_by_change: dict[ChangeId, ChangeOutcome] = msgspec.field(
        default_factory=dict
    )
    allotments: QuotaLedger = msgspec.field(default_factory=QuotaLedger)


_encode = msgspec.msgpack.Encoder().encode
_decode_kept = msgspec.msgpack.Decoder(_Kept).decode
_decode_command = msgspec.msgpack.Decoder(CoordinatorCommand).decode


class CoordinatorState:
    """Applies commands in log order; equal logs give equal states."""

    def __init__(self, centres: list[DataCentre]) -> None:
        self._centres = centres
        self._kept = _Kept()
        self._effective: Effective | None = None

    @property
    def configuration_version(self) -> int:
        """Return the number of accepted changes."""
        return self._kept.version

    @property
    def quota_ledger(self) -> QuotaLedger:
        """Return the allotments; only commands may change them."""
        return self._kept.allotments

    @property
    def effective_configuration(self) -> Effective:
        """Return the configuration in force with its usable keys."""
        if self._effective is None:
            self._effective = self._build_effective()
        return self._effective

    def outcome_of(self, change_id: ChangeId) -> ChangeOutcome | None:
        """Return the first answer to a change, if it is still known."""
        return self._kept.outcome_by_change.get(change_id)

    def apply(self, payload: bytes) -> ChangeOutcome | bool | None:
        """Apply one command of the log."""
        return _apply(_decode_command(payload), self)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _encode(self._kept)

    def restore(self, state: bytes) -> None:
        """Replace the whole state."""
        self._kept = _decode_kept(state)
        self._effective = None

    def change(self, change: Change) -> ChangeOutcome:
        """Apply a change once and remember its answer."""
        fingerprint = hashlib.sha256(_encode(change)).hexdigest()
        first = self.outcome_of(change.change_id)
        if first is not None:
            return _same_change(first, fingerprint, change.change_id)
        try:
            _accept(change, self)
        except CassiaholdError as exc:
            outcome = ChangeOutcome(
                self.configuration_version, fingerprint, exc.kind, exc.detail
            )
        else:
            self._kept.version += 1
            self._effective = None
            outcome = ChangeOutcome(self.configuration_version, fingerprint)
        remembered = self._kept.outcome_by_change
        remembered[change.change_id] = outcome
        if len(remembered) > MAX_REMEMBERED_CHANGES:
            remembered.pop(next(iter(remembered)))
        return outcome

    def accept_configuration(self, change: ApplyConfiguration) -> None:
        """Replace the configuration or raise why not."""
        if change.base_version != self.configuration_version:
            raise CassiaholdError(
                ErrorKind.VERSION_CONFLICT,
                f'made from version {change.base_version}, but version '
                f'{self.configuration_version} is in force',
            )
        self._refuse_bad(change.configuration)
        self._kept.configuration = change.configuration
        limits = {
            name: ResourceTotals(team.limit.resources, team.limit.tasks)
            for name, team in change.configuration.team_by_name.items()
        }
        self._kept.allotments.set_limits(limits, self._centres)
        self._withdraw_keys_without_team()

    def accept_grant(self, change: GrantKey) -> None:
        """Add a key or raise why not."""
        if change.team not in self._kept.configuration.team_by_name:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'team {change.team!r} does not exist'
            )
        key_id = KeyId(change.key.id)
        if key_id in self._kept.withdrawn or key_id in self._known_keys():
            raise CassiaholdError(
                ErrorKind.BAD_CONFIGURATION,
                f'key id {key_id!r} is already used; choose another',
            )
        self._kept.granted_by_id[key_id] = _GrantedKey(change.team, change.key)

    def accept_withdrawal(self, change: WithdrawKey) -> None:
        """Take a key back or raise why not."""
        if change.key_id not in self._known_keys():
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'key {change.key_id!r} does not exist'
            )
        self._kept.granted_by_id.pop(change.key_id, None)
        self._kept.withdrawn.add(change.key_id)

    def _withdraw_keys_without_team(self) -> None:
        # A team that is removed and defined again must not find its old
        # keys working.
        teams = self._kept.configuration.team_by_name
        for key_id, granted in list(self._kept.granted_by_id.items()):
            if granted.team not in teams:
                self._kept.granted_by_id.pop(key_id)
                self._kept.withdrawn.add(key_id)

    def _known_keys(self) -> set[KeyId]:
        return set(self.effective_configuration.key_by_id)

    def _refuse_bad(self, configuration: Configuration) -> None:
        errors = find_errors(configuration)
        if errors:
            raise CassiaholdError(
                ErrorKind.BAD_CONFIGURATION,
                '; '.join(f'{found.id}: {found.message}' for found in errors),
            )
        for key_id in configuration.key_ids:
            if key_id in self._kept.withdrawn:
                raise CassiaholdError(
                    ErrorKind.BAD_CONFIGURATION,
                    f'key {key_id!r} was withdrawn and cannot come back',
                )
            if key_id in self._kept.granted_by_id:
                raise CassiaholdError(
                    ErrorKind.BAD_CONFIGURATION,
                    f'key {key_id!r} was already granted by command',
                )

    def _build_effective(self) -> Effective:
        kept = self._kept
        team_by_key: dict[KeyId, TeamName] = {}
        key_by_id: dict[KeyId, Key] = {}
        teams = kept.configuration.team_by_name
        for name, team in teams.items():
            for key in team.keys:
                team_by_key[KeyId(key.id)] = name
                key_by_id[KeyId(key.id)] = key
        for key_id, granted in kept.granted_by_id.items():
            team_by_key[key_id] = granted.team
            key_by_id[key_id] = granted.key
        for key_id in kept.withdrawn:
            team_by_key.pop(key_id, None)
            key_by_id.pop(key_id, None)
        return Effective(
            kept.version, kept.configuration, team_by_key, key_by_id
        )


def _same_change(
    first: ChangeOutcome, fingerprint: str, change_id: ChangeId
) -> ChangeOutcome:
    if first.fingerprint == fingerprint:
        return first
    return ChangeOutcome(
        first.version,
        fingerprint,
        ErrorKind.REQUEST_ID_REUSED,
        f'change id {change_id!r} names a different change',
    )


@functools.singledispatch
def _accept(change: object, state: CoordinatorState) -> None:
    raise TypeError(f'unknown change {change!r}')


@_accept.register
def _(change: ApplyConfiguration, state: CoordinatorState) -> None:
    state.accept_configuration(change)


@_accept.register
def _(change: GrantKey, state: CoordinatorState) -> None:
    state.accept_grant(change)


@_accept.register
def _(change: WithdrawKey, state: CoordinatorState) -> None:
    state.accept_withdrawal(change)


@functools.singledispatch
def _apply(
    command: object, state: CoordinatorState
) -> ChangeOutcome | bool | None:
    raise TypeError(f'unknown command {command!r}')


@_apply.register(ApplyConfiguration)
@_apply.register(GrantKey)
@_apply.register(WithdrawKey)
def _(command: Change, state: CoordinatorState) -> ChangeOutcome:
    return state.change(command)


@_apply.register
def _(command: ConfirmQuotaOffer, state: CoordinatorState) -> bool:
    return state.quota_ledger.confirm_offer(command.centre, command.epoch)


@_apply.register
def _(command: RebalanceQuota, state: CoordinatorState) -> bool:
    book = state.quota_ledger
    limit = book.limit_by_team.get(command.team, ResourceTotals())
    total = sum(command.target_by_centre.values(), ResourceTotals())
    if not total.fits_in(limit):
        return False
    book.rebalance(command.team, command.target_by_centre)
    return True
