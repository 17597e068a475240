"""What operators do over HTTP."""

import typing
import uuid

import msgspec

from cassiahold.client.connection import GatewayConnection

JsonObject = dict[str, typing.Any]


class OperatorClient:
    """An operator with the operators' key; answers are plain JSON."""

    def __init__(self, gateways: typing.Sequence[str], key: str) -> None:
        self._connection = GatewayConnection(gateways, key)

    def close(self) -> None:
        """Close every connection."""
        self._connection.close()

    def configuration(self) -> JsonObject:
        """Return version, configuration and where it is not in force."""
        return self._get('/v1/configuration')

    def apply(
        self, configuration: JsonObject, base_version: int, change_id: str = ''
    ) -> int:
        """Replace the configuration; returns the new version."""
        return self._post_change(
            '/v1/configuration',
            {
                'change_id': change_id or new_change_id(),
                'base_version': base_version,
                'configuration': configuration,
            },
        )

    def grant_key(
        self, team: str, key_id: str, sha256: str, change_id: str = ''
    ) -> int:
        """Add a key by the hash of its secret; returns the version."""
        return self._post_change(
            '/v1/keys/grant',
            {
                'change_id': change_id or new_change_id(),
                'team': team,
                'key': {'id': key_id, 'sha256': sha256},
            },
        )

    def withdraw_key(self, key_id: str, change_id: str = '') -> int:
        """Take a key back for ever; returns the version."""
        return self._post_change(
            '/v1/keys/withdraw',
            {'change_id': change_id or new_change_id(), 'key_id': key_id},
        )

    def status(self) -> JsonObject:
        """Return figures of the whole cell."""
        return self._get('/v1/status')

    def why(self, job: str) -> JsonObject:
        """Return why a job waits."""
        return self._get(f'/v1/jobs/{job}/why')

    def drain(
        self, data_centre: str, worker: str, is_draining: bool
    ) -> JsonObject:
        """Stop or resume placing on a worker."""
        return self._post(
            '/v1/workers/drain',
            {
                'data_centre': data_centre,
                'worker': worker,
                'is_draining': is_draining,
            },
        )

    def change_members(
        self, group: str, voters: list[str], learners: list[str]
    ) -> JsonObject:
        """Change who votes and learns in a group."""
        return self._post(
            '/v1/groups/members',
            {'group': group, 'voters': voters, 'learners': learners},
        )

    def _post_change(self, path: str, payload: JsonObject) -> int:
        return int(self._post(path, payload)['version'])

    def _get(self, path: str) -> JsonObject:
        raw = self._connection.request_json('GET', path)
        return msgspec.json.decode(raw, type=JsonObject)

    def _post(self, path: str, payload: JsonObject) -> JsonObject:
        # Every change carries an id, so the same change may be sent again.
        raw = self._connection.request_json('POST', path, payload)
        return msgspec.json.decode(raw, type=JsonObject)


def new_change_id() -> str:
    """Return an id that no other change has."""
    return uuid.uuid4().hex
