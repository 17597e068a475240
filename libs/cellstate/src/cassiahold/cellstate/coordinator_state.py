"""The replicated state of the coordinator group.

It holds the configuration, the keys granted and withdrawn by command, and the
quotas of the data centres.  Commands are written to the log as arrays, in the
order of their fields; the tags identify their classes.
"""

import functools
import hashlib
import typing

import msgspec

from cassiahold.cellstate.quotas import QuotaLedger, ResourceTotals
from cassiahold.config.checks import find_errors
from cassiahold.config.document import Configuration, Key
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import ChangeId, DataCentre, KeyId, TeamName

# Two days of changes at 9,400 a day, so that a late retry is recognised.
MAX_REMEMBERED_CHANGES: typing.Final = 20_000


class ApplyConfiguration(
    msgspec.Struct, frozen=True, array_like=True, tag='apply'
):
    """Replaces the configuration if its version is ``base_version``."""

    change_id: ChangeId
    base_version: int
    configuration: Configuration


class GrantKey(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """Adds a key to a team."""

    change_id: ChangeId
    team: TeamName
    key: Key


class WithdrawKey(msgspec.Struct, frozen=True, array_like=True, tag='withdraw'):
    """Withdraws a key; its id can never be used again."""

    change_id: ChangeId
    key_id: KeyId


class ConfirmQuotaOffer(
    msgspec.Struct, frozen=True, array_like=True, tag='confirm'
):
    """Confirms that a data centre runs within its offer of ``epoch``."""

    centre: DataCentre
    epoch: int


class RebalanceQuota(msgspec.Struct, frozen=True, array_like=True, tag='move'):
    """Changes how one team's limit is split over the data centres."""

    team: TeamName
    target_by_centre: dict[DataCentre, ResourceTotals]


Change = ApplyConfiguration | GrantKey | WithdrawKey
CoordinatorCommand = Change | ConfirmQuotaOffer | RebalanceQuota


class ChangeOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a change, remembered so that a retry gets it again.

    ``error`` is None when the change was accepted.  ``version`` is that of the
    configuration after the change.
    """

    version: int
    fingerprint: str
    error: ErrorKind | None = None
    detail: str = ''


class EffectiveConfiguration(msgspec.Struct, frozen=True):
    """The configuration with all keys that may be used now."""

    version: int
    configuration: Configuration
    team_by_key: dict[KeyId, TeamName]
    key_by_id: dict[KeyId, Key]


class _GrantedKey(msgspec.Struct, frozen=True, array_like=True):
    team: TeamName
    key: Key


class _StoredState(msgspec.Struct, array_like=True):
    version: int = 0
    configuration: Configuration = Configuration()
    granted_key_by_id: dict[KeyId, _GrantedKey] = msgspec.field(
        default_factory=dict
    )
    withdrawn_key_ids: set[KeyId] = msgspec.field(default_factory=set)
    outcome_by_change: dict[ChangeId, ChangeOutcome] = msgspec.field(
        default_factory=dict
    )
    quota_ledger: QuotaLedger = msgspec.field(default_factory=QuotaLedger)


_encode = msgspec.msgpack.Encoder().encode
_decode_state = msgspec.msgpack.Decoder(_StoredState).decode
_decode_command = msgspec.msgpack.Decoder(CoordinatorCommand).decode


class CoordinatorState:
    """State machine of the coordinator group.

    Commands are applied in log order; equal logs give equal states.
    """

    def __init__(self, centres: list[DataCentre]) -> None:
        self._centres = centres
        self._stored = _StoredState()
        self._effective_configuration: EffectiveConfiguration | None = None

    @property
    def configuration_version(self) -> int:
        """Return the number of accepted changes."""
        return self._stored.version

    @property
    def quota_ledger(self) -> QuotaLedger:
        """Return the quotas; only commands may change them."""
        return self._stored.quota_ledger

    @property
    def effective_configuration(self) -> EffectiveConfiguration:
        """Return the current configuration with its usable keys."""
        if self._effective_configuration is None:
            self._effective_configuration = (
                self._build_effective_configuration()
            )
        return self._effective_configuration

    def outcome_of(self, change_id: ChangeId) -> ChangeOutcome | None:
        """Return the outcome of a change, None if it is not remembered."""
        return self._stored.outcome_by_change.get(change_id)

    def apply(self, payload: bytes) -> ChangeOutcome | bool | None:
        """Apply one encoded command of the log and return its outcome."""
        return _apply_command(_decode_command(payload), self)

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return _encode(self._stored)

    def restore(self, state: bytes) -> None:
        """Replace the whole state by a snapshot."""
        self._stored = _decode_state(state)
        self._effective_configuration = None

    def apply_change(self, change: Change) -> ChangeOutcome:
        """Apply a change once and remember its outcome."""
        fingerprint = hashlib.sha256(_encode(change)).hexdigest()
        previous = self.outcome_of(change.change_id)
        if previous is not None:
            return _outcome_of_retry(previous, fingerprint, change.change_id)
        try:
            _accept_change(change, self)
        except CassiaholdError as exc:
            outcome = ChangeOutcome(
                self.configuration_version, fingerprint, exc.kind, exc.detail
            )
        else:
            self._stored.version += 1
            self._effective_configuration = None
            outcome = ChangeOutcome(self.configuration_version, fingerprint)
        remembered_outcomes = self._stored.outcome_by_change
        remembered_outcomes[change.change_id] = outcome
        if len(remembered_outcomes) > MAX_REMEMBERED_CHANGES:
            remembered_outcomes.pop(next(iter(remembered_outcomes)))
        return outcome

    def accept_configuration(self, change: ApplyConfiguration) -> None:
        """Replace the configuration.

        Raises ``CassiaholdError`` when the version does not match or the
        configuration is invalid.
        """
        if change.base_version != self.configuration_version:
            raise CassiaholdError(
                ErrorKind.VERSION_CONFLICT,
                f'made from version {change.base_version}, but version '
                f'{self.configuration_version} is in force',
            )
        self._raise_if_invalid(change.configuration)
        self._stored.configuration = change.configuration
        limits = {
            name: ResourceTotals(team.limit.resources, team.limit.tasks)
            for name, team in change.configuration.team_by_name.items()
        }
        self._stored.quota_ledger.set_limits(limits, self._centres)
        self._withdraw_keys_without_team()

    def accept_grant(self, change: GrantKey) -> None:
        """Add a key to a team.

        Raises ``CassiaholdError`` when the team does not exist or the key id
        was used before.
        """
        if change.team not in self._stored.configuration.team_by_name:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'team {change.team!r} does not exist'
            )
        key_id = KeyId(change.key.id)
        if (
            key_id in self._stored.withdrawn_key_ids
            or key_id in self._usable_key_ids()
        ):
            raise CassiaholdError(
                ErrorKind.BAD_CONFIGURATION,
                f'key id {key_id!r} is already used; choose another',
            )
        self._stored.granted_key_by_id[key_id] = _GrantedKey(
            change.team, change.key
        )

    def accept_withdrawal(self, change: WithdrawKey) -> None:
        """Withdraw a key; raise ``CassiaholdError`` if it does not exist."""
        if change.key_id not in self._usable_key_ids():
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'key {change.key_id!r} does not exist'
            )
        self._stored.granted_key_by_id.pop(change.key_id, None)
        self._stored.withdrawn_key_ids.add(change.key_id)

    def _withdraw_keys_without_team(self) -> None:
        # The old keys of a team that is removed and defined again must not
        # become valid again.
        teams = self._stored.configuration.team_by_name
        for key_id, granted in list(self._stored.granted_key_by_id.items()):
            if granted.team not in teams:
                self._stored.granted_key_by_id.pop(key_id)
                self._stored.withdrawn_key_ids.add(key_id)

    def _usable_key_ids(self) -> set[KeyId]:
        return set(self.effective_configuration.key_by_id)

    def _raise_if_invalid(self, configuration: Configuration) -> None:
        errors = find_errors(configuration)
        if errors:
            raise CassiaholdError(
                ErrorKind.BAD_CONFIGURATION,
                '; '.join(f'{error.id}: {error.message}' for error in errors),
            )
        for key_id in configuration.key_ids:
            if key_id in self._stored.withdrawn_key_ids:
                raise CassiaholdError(
                    ErrorKind.BAD_CONFIGURATION,
                    f'key {key_id!r} was withdrawn and cannot come back',
                )
            if key_id in self._stored.granted_key_by_id:
                raise CassiaholdError(
                    ErrorKind.BAD_CONFIGURATION,
                    f'key {key_id!r} was already granted by command',
                )

    def _build_effective_configuration(self) -> EffectiveConfiguration:
        stored = self._stored
        team_by_key: dict[KeyId, TeamName] = {}
        key_by_id: dict[KeyId, Key] = {}
        teams = stored.configuration.team_by_name
        for name, team in teams.items():
            for key in team.keys:
                team_by_key[KeyId(key.id)] = name
                key_by_id[KeyId(key.id)] = key
        for key_id, granted in stored.granted_key_by_id.items():
            team_by_key[key_id] = granted.team
            key_by_id[key_id] = granted.key
        for key_id in stored.withdrawn_key_ids:
            team_by_key.pop(key_id, None)
            key_by_id.pop(key_id, None)
        return EffectiveConfiguration(
            stored.version, stored.configuration, team_by_key, key_by_id
        )


def _outcome_of_retry(
    previous: ChangeOutcome, fingerprint: str, change_id: ChangeId
) -> ChangeOutcome:
    if previous.fingerprint == fingerprint:
        return previous
    return ChangeOutcome(
        previous.version,
        fingerprint,
        ErrorKind.REQUEST_ID_REUSED,
        f'change id {change_id!r} was already used for a different change',
    )


@functools.singledispatch
def _accept_change(change: object, state: CoordinatorState) -> None:
    raise TypeError(f'unknown change {change!r}')


@_accept_change.register
def _(change: ApplyConfiguration, state: CoordinatorState) -> None:
    state.accept_configuration(change)


@_accept_change.register
def _(change: GrantKey, state: CoordinatorState) -> None:
    state.accept_grant(change)


@_accept_change.register
def _(change: WithdrawKey, state: CoordinatorState) -> None:
    state.accept_withdrawal(change)


@functools.singledispatch
def _apply_command(
    command: object, state: CoordinatorState
) -> ChangeOutcome | bool | None:
    raise TypeError(f'unknown command {command!r}')


@_apply_command.register(ApplyConfiguration)
@_apply_command.register(GrantKey)
@_apply_command.register(WithdrawKey)
def _(command: Change, state: CoordinatorState) -> ChangeOutcome:
    return state.apply_change(command)


@_apply_command.register
def _(command: ConfirmQuotaOffer, state: CoordinatorState) -> bool:
    return state.quota_ledger.confirm_offer(command.centre, command.epoch)


@_apply_command.register
def _(command: RebalanceQuota, state: CoordinatorState) -> bool:
    ledger = state.quota_ledger
    limit = ledger.limit_by_team.get(command.team, ResourceTotals())
    total = sum(command.target_by_centre.values(), ResourceTotals())
    if not total.fits_in(limit):
        return False
    ledger.rebalance(command.team, command.target_by_centre)
    return True
