"""Fault run of a scheduler group: leases, fencing, limits, job states.

The real leader code is under test.  Workers crash, pause for longer than
their lease and are cut off; their clocks drift; reports and replies are lost
or late; leaders change at any time, before or after a command is logged.
"""

import pathlib
import random
import typing
from unittest import mock

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahold.agreement.deferred_replies import DeferredReply
from cassiahold.agreement.replica import Proposal
from cassiahold.bench.faults.simulated_worker import (
    RunningAttemptState,
    SimulatedWorker,
)
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import JobSpec
from cassiahold.cellstate.quotas import QuotaOffer, ResourceTotals
from cassiahold.config.document import (
    Configuration,
    Limit,
    PlacementPolicy,
    Queue,
    Team,
)
from cassiahold.core.conf.settings import (
    CellSettings,
    GroupEntry,
    HostEntry,
    HostSettings,
    Settings,
    Timing,
)
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import (
    AttemptId,
    DataCentre,
    GroupName,
    HostName,
    JobId,
    RequestId,
    TeamName,
    WorkerId,
)
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.resources import Resources
from cassiahold.core.states import JobKind, JobOutcome, TaskState
from cassiahold.scheduler.service import SchedulerService
from cassiahold.wire import messages

TICK_S: typing.Final = 0.1
TIMING: typing.Final = Timing(
    worker_lease_s=4.0, report_s=0.5, clock_drift=0.02
)
DATA_CENTRE: typing.Final = DataCentre('here')
TEAMS: typing.Final = (TeamName('red'), TeamName('blue'))
WORKER_COUNT: typing.Final = 6
WORKER_CAPACITY: typing.Final = Resources(8000, 16000, 0)
INITIAL_LIMIT: typing.Final = ResourceTotals(Resources(30_000, 60_000), 20)


class InFlightMessage(msgspec.Struct):
    """A worker report, or the reply to one, not yet delivered."""

    deliver_at: float
    worker: WorkerId
    incarnation: int
    sequence: int
    content: messages.WorkerReport | messages.WorkerReportReply


class SchedulingMachine(RuleBasedStateMachine):
    """One scheduler group, its workers and its callers.

    The group is a log of committed commands and the current leader.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.random = random.Random(0)
        self.committed_payloads: list[bytes] = []
        self.term = 0
        self.leaderless_until = 0.0
        self.request_number = 0
        self.offer_epoch = 0
        self.in_flight_messages: list[InFlightMessage] = []
        self.starts_by_task: dict[str, list[AttemptId]] = {}
        self.spec_by_accepted_job: dict[JobId, JobSpec] = {}
        self.fault_count = 0
        self.worker_by_id = {
            WorkerId(f'w{number}'): SimulatedWorker(
                WorkerId(f'w{number}'),
                WORKER_CAPACITY,
                (1.0, 1.02, 0.98)[number % 3],
            )
            for number in range(WORKER_COUNT)
        }
        patches = (
            mock.patch('time.monotonic', lambda: self.now),
            mock.patch('time.time', lambda: self.now),
        )
        for patch in patches:
            patch.start()
        self.patches = patches
        self.leader = self._new_leader()
        self._commit(commands.AdoptConfiguration(1, _configuration()))
        self._set_limit(INITIAL_LIMIT)

    def teardown(self) -> None:
        """Restore the real clock."""
        for patch in self.patches:
            patch.stop()

    @rule(
        seed=st.integers(0, 1 << 30),
        ticks=st.integers(10, 150),
        trouble=st.sampled_from((0.0, 0.02, 0.1)),
        loss=st.sampled_from((0.0, 0.1, 0.4)),
    )
    def storm(self, seed: int, ticks: int, trouble: float, loss: float) -> None:
        """Advance time with faults of every kind.

        ``trouble`` is the probability of a fault per tick, ``loss`` that of
        losing a message.
        """
        generator = random.Random(seed)
        for _ in range(ticks):
            self.now += TICK_S
            if generator.random() < trouble:
                self.inject_fault(generator)
            if generator.random() < 0.15:
                self.submit(generator)
            self._commit_due_commands(generator)
            for worker in self.worker_by_id.values():
                self._advance_worker(worker, generator, loss)
            self._deliver_messages(generator, loss)
            self.check_running_attempts()

    def run_random_storm(self, generator: random.Random) -> None:
        """Run one storm with parameters drawn from the generator."""
        self.storm(
            generator.randrange(1 << 30),
            generator.randrange(10, 150),
            generator.choice((0.0, 0.02, 0.1)),
            generator.choice((0.0, 0.1, 0.4)),
        )
        if generator.random() < 0.3:
            self.calm()

    def check_properties(self) -> None:
        """Check the states of the accepted jobs."""
        self.answers_are_true()

    @rule()
    def calm(self) -> None:
        """End pauses and cuts of workers and advance time without faults."""
        for worker in self.worker_by_id.values():
            worker.paused_until = 0
            worker.cut_until = 0
        self.storm(0, 80, 0.0, 0.0)

    # Faults.

    def inject_fault(self, generator: random.Random) -> None:
        """Inject one random fault or change."""
        self.fault_count += 1
        worker = generator.choice(list(self.worker_by_id.values()))
        what = generator.randrange(8)
        if what == 0:
            worker.restart()
        elif what == 1:
            worker.paused_until = self.now + generator.uniform(0, 12)
        elif what == 2:
            worker.cut_until = self.now + generator.uniform(0, 12)
        elif what in {3, 4}:
            self.change_leader(generator)
        elif what == 5:
            self.cancel(generator)
        elif what == 6:
            tasks = generator.choice((20, 8, 3))
            self._set_limit(ResourceTotals(INITIAL_LIMIT.resources, tasks))
        else:
            worker.fails_every_attempt = not worker.fails_every_attempt

    def change_leader(self, generator: random.Random) -> None:
        """Stop the leader; after a gap another starts from the log."""
        self.leader.stop_leading()
        self.leaderless_until = self.now + generator.uniform(0.1, 3)
        self.leader = self._new_leader()

    def submit(self, generator: random.Random) -> None:
        """Submit a random job, sometimes twice with one request id."""
        if self.now < self.leaderless_until:
            return
        self.request_number += 1
        kind = generator.choice((JobKind.BATCH, JobKind.BATCH, JobKind.GANG))
        spec = JobSpec(
            queue=generator.choice(('red', 'blue')),
            kind=kind,
            tasks=generator.randrange(1, 5),
            cores=generator.choice((0.5, 1, 2, 4)),
            memory_gb=generator.choice((1, 2, 4)),
            idempotent=generator.random() < 0.6,
            urgent=kind is JobKind.BATCH and generator.random() < 0.2,
            deadline_s=generator.choice((None, 2.0, 20.0)),
            name=generator.choice(('a', 'b', '')),
        )
        team = TeamName(spec.queue)
        for _ in range(generator.choice((1, 1, 2))):
            reply = self._send_to_leader(
                messages.Submit(
                    team,
                    RequestId(str(self.request_number)),
                    str(self.request_number),
                    spec,
                ),
                generator,
            )
            if isinstance(reply, messages.Submitted):
                first_spec = self.spec_by_accepted_job.setdefault(
                    reply.job, spec
                )
                assert first_spec is spec, (
                    'a resent request created another job'
                )

    def cancel(self, generator: random.Random) -> None:
        """Cancel up to three jobs in one request."""
        jobs = list(self.spec_by_accepted_job)
        if jobs and self.now >= self.leaderless_until:
            chosen = generator.sample(jobs, min(3, len(jobs)))
            self._send_to_leader(messages.Cancel(chosen, None), generator)

    # Properties.

    def check_running_attempts(self) -> None:
        """Check properties 1, 2 and 4 against the attempts on the workers."""
        worker_by_task: dict[str, WorkerId] = {}
        for worker in self.worker_by_id.values():
            if not worker.running_by_attempt or self.now < worker.paused_until:
                continue
            allocated = worker.allocated_resources()
            assert allocated.cores_m <= WORKER_CAPACITY.cores_m, (
                1,
                worker.id,
                allocated,
            )
            assert allocated.memory_mb <= WORKER_CAPACITY.memory_mb, (
                1,
                allocated,
            )
            for attempt in worker.running_by_attempt:
                task = attempt.rpartition('/')[0]
                assert task not in worker_by_task, (2, task)
                worker_by_task[task] = worker.id
        self._check_limits(worker_by_task)

    def _check_limits(self, worker_by_task: dict[str, WorkerId]) -> None:
        """No team runs more than the highest limit it ever had."""
        for team in TEAMS:
            specs = [
                spec
                for task in worker_by_task
                if (
                    spec := self.spec_by_accepted_job.get(
                        JobId(task.rpartition('/')[0])
                    )
                )
                and spec.queue == team
            ]
            cores_m = sum(spec.resources.cores_m for spec in specs)
            assert cores_m <= INITIAL_LIMIT.resources.cores_m, (
                4,
                team,
                cores_m,
            )
            assert len(specs) <= INITIAL_LIMIT.tasks, (4, team, len(specs))

    @invariant()
    def answers_are_true(self) -> None:
        """Check properties 6 and 7, and that no accepted job is lost."""
        for job_id, spec in self.spec_by_accepted_job.items():
            record = self.leader.state.job_by_id.get(job_id)
            assert record is not None, ('lost', job_id)
            for index, task in enumerate(record.tasks):
                starts = self.starts_by_task.get(f'{job_id}/{index}', [])
                if task.state is TaskState.NOT_RUN:
                    assert not starts, (6, job_id, index, starts)
                if not spec.idempotent:
                    assert len(set(starts)) <= 1, (7, job_id, index, starts)
            if record.outcome is JobOutcome.DONE:
                assert len(record.tasks) == spec.tasks

    # The scheduler group.

    def _new_leader(self) -> SchedulerService:
        self.term += 1
        service = SchedulerService(DATA_CENTRE, _settings(), NullMetrics())
        for payload in self.committed_payloads:
            service.state.apply(payload)
        service.start_leading(self.term, max(self.now, self.leaderless_until))
        return service

    def _set_limit(self, limit: ResourceTotals) -> None:
        self.offer_epoch += 1
        self._commit(
            commands.AdoptQuotaOffer(
                QuotaOffer(self.offer_epoch, dict.fromkeys(TEAMS, limit))
            )
        )

    def _commit(self, command: commands.SchedulerCommand) -> typing.Any:
        payload = commands.encode_command(command)
        self.committed_payloads.append(payload)
        return self.leader.apply(payload)

    def _commit_due_commands(self, generator: random.Random) -> None:
        if self.now < self.leaderless_until:
            return
        for payload in self.leader.due_commands(self.now):
            self.committed_payloads.append(payload)
            if generator.random() < 0.01:
                # It is logged, but the leader fails before applying it.
                self.change_leader(generator)
                return
            self.leader.apply(payload)

    def _send_to_leader(
        self, request: typing.Any, generator: random.Random
    ) -> typing.Any:
        """Return the reply, None if the request was refused or lost."""
        try:
            result = self.leader.handle_request(request, self.now)
            if not isinstance(result, Proposal):
                return result
            fate = generator.random()
            if fate < 0.02:
                self.change_leader(generator)
                return None
            self.committed_payloads.append(result.payload)
            if fate < 0.04:
                self.change_leader(generator)
                return None
            reply = result.make_reply(self.leader.apply(result.payload))
            return (
                reply.make_reply()
                if isinstance(reply, DeferredReply)
                else reply
            )
        except CassiaholdError:
            return None

    # Workers and the network.

    def _advance_worker(
        self,
        worker: SimulatedWorker,
        generator: random.Random,
        loss_probability: float,
    ) -> None:
        if self.now < worker.paused_until:
            return
        worker.stop_if_lease_expired(self.now)
        worker.end_due_attempts(self.now)
        if self.now < worker.next_report_at:
            return
        worker.next_report_at = self.now + TIMING.report_s
        report = worker.make_report(self.now)
        if (
            self.now >= worker.cut_until
            and generator.random() >= loss_probability
        ):
            self._send_message(worker, report, generator)

    def _send_message(
        self,
        worker: SimulatedWorker,
        content: messages.WorkerReport | messages.WorkerReportReply,
        generator: random.Random,
    ) -> None:
        delay_s = generator.choice((0.0, 0.0, 0.1, 0.3, 6.0))
        self.in_flight_messages.append(
            InFlightMessage(
                self.now + delay_s,
                worker.id,
                worker.incarnation,
                worker.sequence,
                content,
            )
        )

    def _deliver_messages(
        self, generator: random.Random, loss_probability: float
    ) -> None:
        due = [
            message
            for message in self.in_flight_messages
            if message.deliver_at <= self.now
        ]
        self.in_flight_messages = [
            message
            for message in self.in_flight_messages
            if message.deliver_at > self.now
        ]
        for message in due:
            worker = self.worker_by_id[message.worker]
            if isinstance(message.content, messages.WorkerReportReply):
                self._deliver_reply(worker, message, generator)
            elif self.now >= self.leaderless_until:
                orders = self._send_to_leader(message.content, generator)
                cut = self.now < worker.cut_until
                if (
                    orders is not None
                    and not cut
                    and generator.random() >= loss_probability
                ):
                    delay_s = generator.choice((0.0, 0.0, 0.1, 6.0))
                    self.in_flight_messages.append(
                        msgspec.structs.replace(
                            message,
                            deliver_at=self.now + delay_s,
                            content=orders,
                        )
                    )

    def _deliver_reply(
        self,
        worker: SimulatedWorker,
        message: InFlightMessage,
        generator: random.Random,
    ) -> None:
        # A reply belongs to one report; the worker ignores a late one.
        is_current = (
            message.incarnation == worker.incarnation
            and message.sequence == worker.sequence
            and self.now >= worker.paused_until
        )
        if not is_current or not isinstance(
            message.content, messages.WorkerReportReply
        ):
            return
        for command in worker.handle_reply(message.content):
            if worker.local_time(self.now) >= worker.lease_until:
                continue
            worker.running_by_attempt[command.attempt] = RunningAttemptState(
                Resources(
                    command.cores_m, command.memory_mb, command.accelerators
                ),
                self.now + generator.choice((0.2, 1.0, 5.0)),
                generator.random() < 0.1,
                generator.choice((0.2, 0.9, 1.0, 1.0)),
            )
            task = command.attempt.rpartition('/')[0]
            self.starts_by_task.setdefault(task, []).append(command.attempt)


def _configuration() -> Configuration:
    limit = Limit(cores=30, memory_gb=60, tasks=20)
    return Configuration(
        teams=(
            Team(name='red', share=3, limit=limit),
            Team(name='blue', share=1, limit=limit),
        ),
        queues=(
            Queue(name='red', team='red', may_be_urgent=True),
            Queue(name='blue', team='blue', may_be_urgent=True),
        ),
        placement=PlacementPolicy(max_attempts=3),
    )


def _settings() -> Settings:
    host = HostEntry(HostName('h1'), DATA_CENTRE, '127.0.0.1:1', '127.0.0.1:2')
    group = GroupEntry(GroupName('here'), [host.name])
    return Settings(
        HostSettings(host.name, '', ''),
        CellSettings('run', [host], [group], group, TIMING),
        host,
        pathlib.Path(),
    )
