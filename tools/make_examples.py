"""Writes the settings files of the two example deployments.

Run ``python tools/make_examples.py`` after changing the tables below; the
files are committed.
"""

import hashlib
import pathlib
import typing

import msgspec
import yaml

EXAMPLES: typing.Final = pathlib.Path(__file__).parent.parent / 'examples'
# These keys are public: create your own for a real cell.
OPERATOR_KEY: typing.Final = 'example-operator-key'
WORKER_KEY: typing.Final = 'example-worker-key'
HOSTS_PER_CENTRE: typing.Final = 2
TARGETS_PER_CENTRE: typing.Final = 6
WORKERS_PER_CENTRE: typing.Final = 6
GATEWAY_PORT: typing.Final = 8080
SCHEDULER_PORT: typing.Final = 7100
COORDINATOR_PORT: typing.Final = 7200
FIRST_TARGET_PORT: typing.Final = 9000


class Deployment(msgspec.Struct, frozen=True):
    """An example: its data centres, the size of its workers and its service.

    ``subnet`` is the second octet of its loopback addresses.
    """

    name: str
    subnet: int
    centres: tuple[str, ...]
    cores_per_worker: int
    memory_gb_per_worker: int
    service: str


DEPLOYMENTS: typing.Final = (
    Deployment(
        'rollwerk',
        10,
        ('vienna', 'st-poelten', 'wiener-neustadt', 'eisenstadt'),
        60,
        130,
        'availability',
    ),
    Deployment(
        'bulletin',
        20,
        ('dublin', 'cork', 'galway', 'limerick'),
        16,
        30,
        'prices',
    ),
)


def main() -> None:
    """Write the files of every deployment."""
    for deployment in DEPLOYMENTS:
        _write_deployment(deployment)


def _write_deployment(deployment: Deployment) -> None:
    folder = EXAMPLES / deployment.name
    hosts = [
        _make_host(deployment, number, position)
        for number in range(len(deployment.centres))
        for position in range(HOSTS_PER_CENTRE)
    ]
    names = [host['name'] for host in hosts]
    groups = []
    for number, centre in enumerate(deployment.centres):
        first = number * HOSTS_PER_CENTRE
        # Two replicas in the data centre keep the quorum when it is cut
        # off; the third, elsewhere, keeps it when one host is lost.
        remote_index = (first + HOSTS_PER_CENTRE) % len(names)
        groups.append(
            {
                'name': centre,
                'replicas': [
                    names[first],
                    names[first + 1],
                    names[remote_index],
                ],
            }
        )
    cell = {
        'name': deployment.name,
        'hosts': hosts,
        'scheduler_groups': groups,
        'coordinator_group': {
            'name': 'coordinator',
            'replicas': [*names[::HOSTS_PER_CENTRE], names[1]],
        },
        'operator_key_sha256': _sha256_hex(OPERATOR_KEY),
        'worker_key_sha256': _sha256_hex(WORKER_KEY),
    }
    _write_yaml(folder / 'cell.yaml', cell)
    for name in names:
        _write_yaml(
            folder / 'hosts' / f'{name}.yaml',
            {
                'host': name,
                'cell_file': '../cell.yaml',
                'data_folder': f'../data/{name}',
                # The example runs on loopback; a real cell uses mutual TLS.
                'tls': {'mode': 'plain'},
            },
        )
    for number, centre in enumerate(deployment.centres):
        _write_yaml(
            folder / 'stand-ins' / f'{centre}.yaml',
            _make_fake_plan(deployment, number, centre, hosts),
        )


def _make_host(
    deployment: Deployment, centre_index: int, host_index: int
) -> dict[str, str]:
    centre = deployment.centres[centre_index]
    address = f'127.{deployment.subnet}.{centre_index + 1}.{host_index + 1}'
    in_coordinator = host_index == 0 or centre_index == 0
    host = {
        'name': f'{centre}-{host_index + 1}',
        'data_centre': centre,
        'gateway': f'{address}:{GATEWAY_PORT}',
        'scheduler': f'{address}:{SCHEDULER_PORT}',
    }
    if in_coordinator:
        host['coordinator'] = f'{address}:{COORDINATOR_PORT}'
    return host


def _make_fake_plan(
    deployment: Deployment,
    centre_index: int,
    centre: str,
    hosts: list[dict[str, str]],
) -> dict[str, typing.Any]:
    return {
        'gateways': [
            host['gateway'] for host in hosts if host['data_centre'] == centre
        ],
        'worker_token': WORKER_KEY,
        'workers': [
            {
                'worker': f'{centre}-w{position + 1}',
                'data_centre': centre,
                'rack': f'{centre}-r1',
                'cores': deployment.cores_per_worker,
                'memory_gb': deployment.memory_gb_per_worker,
            }
            for position in range(WORKERS_PER_CENTRE)
        ],
        'targets': [
            {
                'target': f'{deployment.service}-{centre}-{position + 1}',
                'data_centre': centre,
                'service': deployment.service,
                'address': (
                    f'127.{deployment.subnet}.{centre_index + 1}.100:'
                    f'{FIRST_TARGET_PORT + position}'
                ),
            }
            for position in range(TARGETS_PER_CENTRE)
        ],
    }


def _sha256_hex(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()


def _write_yaml(path: pathlib.Path, content: typing.Any) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(yaml.safe_dump(content, sort_keys=False))


if __name__ == '__main__':
    main()
