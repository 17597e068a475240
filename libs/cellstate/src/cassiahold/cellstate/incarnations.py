"""The end of a worker's incarnation and what follows for its jobs."""

from cassiahold.cellstate import effects
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.crash_counting import (
    allocated_attempts,
    count_crash,
    must_give_up,
)
from cassiahold.cellstate.jobs import JobRecord, WorkerRecord
from cassiahold.cellstate.stored_state import StoredState
from cassiahold.cellstate.task_ledger import TaskLedger
from cassiahold.cellstate.task_transitions import state_of_abandoned
from cassiahold.cellstate.worker_crashes import LostAttempt
from cassiahold.core.crashes import CrashEvidence
from cassiahold.core.states import FailureReason, TaskState


class IncarnationLedger:
    """Ends the attempts of workers that have restarted; counts crashes."""

    def __init__(
        self,
        stored: StoredState,
        tasks: TaskLedger,
        pending_effects: list[effects.Effect],
    ) -> None:
        self._stored = stored
        self._tasks = tasks
        self._effects = pending_effects

    def end_incarnation(
        self, worker: WorkerRecord, command: commands.RegisterWorker
    ) -> None:
        """End the attempts of a worker that has restarted; count its crash."""
        lost_attempts = worker.unexplained_losses + allocated_attempts(
            worker, self._stored.job_by_id, command.evidence_by_attempt
        )
        self._tasks.lose_attempts(worker, command.registered_at)
        if worker.is_departing or not lost_attempts:
            return
        for lost in lost_attempts:
            record = self._stored.job_by_id.get(lost.job)
            if record is not None:
                count_crash(record, lost, worker, command.registered_at)
                self._effects.append(effects.TaskCharged(lost.job, lost.index))
        self._effects.append(_crash_effect(worker, lost_attempts))
        for job_id in dict.fromkeys(lost.job for lost in lost_attempts):
            record = self._stored.job_by_id.get(job_id)
            if record is not None and must_give_up(record):
                self._give_up(record, command.registered_at)

    def _give_up(self, record: JobRecord, given_up_at: float) -> None:
        """End the waiting tasks of a job that crashes workers.

        Running tasks end when their workers report it.
        """
        record.failure_reason = FailureReason.CRASHES
        record.is_restarting = False
        for index, task in enumerate(record.tasks):
            if task.state is TaskState.WAITING:
                self._tasks.set_task_state(
                    record,
                    index,
                    state_of_abandoned(task),
                    'the job crashes workers and was given up',
                    given_up_at,
                )
        self._effects.append(effects.JobGivenUp(record.id))


def _crash_effect(
    worker: WorkerRecord, lost_attempts: list[LostAttempt]
) -> effects.WorkerCrashed:
    return effects.WorkerCrashed(
        worker.id,
        worker.incarnation,
        len(lost_attempts),
        sum(
            lost.evidence.evidence >= CrashEvidence.RECENT
            for lost in lost_attempts
        ),
    )
