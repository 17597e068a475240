"""Client for operators: configuration, keys, workers and group members."""

import typing
import uuid

import msgspec

from cassiahold.client.connection import GatewayConnection

JsonObject = dict[str, typing.Any]


class OperatorClient:
    """Client with the operators' key; results are decoded JSON.

    A change may be sent again under its ``change_id``; a fresh one is made if
    none is given.
    """

    def __init__(self, gateways: typing.Sequence[str], key: str) -> None:
        self._connection = GatewayConnection(gateways, key)

    def close(self) -> None:
        """Close every connection."""
        self._connection.close()

    def configuration(self) -> JsonObject:
        """Return the configuration, its version and where it is pending."""
        return self._get('/v1/configuration')

    def apply(
        self, configuration: JsonObject, base_version: int, change_id: str = ''
    ) -> int:
        """Replace the configuration and return the new version.

        ``base_version`` is the version that the new one was made from.
        """
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
        """Add a key by the hash of its secret and return the new version."""
        return self._post_change(
            '/v1/keys/grant',
            {
                'change_id': change_id or new_change_id(),
                'team': team,
                'key': {'id': key_id, 'sha256': sha256},
            },
        )

    def withdraw_key(self, key_id: str, change_id: str = '') -> int:
        """Withdraw a key for good and return the new version."""
        return self._post_change(
            '/v1/keys/withdraw',
            {'change_id': change_id or new_change_id(), 'key_id': key_id},
        )

    def status(self) -> JsonObject:
        """Return the status of every data centre of the cell."""
        return self._get('/v1/status')

    def why(self, job: str) -> JsonObject:
        """Return the reasons why a job waits."""
        return self._get(f'/v1/jobs/{job}/why')

    def drain(
        self, data_centre: str, worker: str, is_draining: bool
    ) -> JsonObject:
        """Stop or resume placing tasks on a worker."""
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
        """Replace the voters and the learners of a group."""
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
        # Every change carries an id, so it is safe to send it twice.
        raw = self._connection.request_json('POST', path, payload)
        return msgspec.json.decode(raw, type=JsonObject)


def new_change_id() -> str:
    """Return a unique id for a change."""
    return uuid.uuid4().hex
