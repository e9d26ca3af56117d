"""What the results of the requests at the target tell about it."""

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import targets
from mustardloom.load_control import learned_limit
from mustardloom.load_control import quarantine as quarantine_lib
from mustardloom.load_control import unanswered
from mustardloom.load_control import waiting
from mustardloom.sidecar import events
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import work
from mustardloom.sidecar.gate import load as load_lib
from mustardloom.sidecar.gate import ticket as ticket_lib
from mustardloom.sidecar.gate import timing

__all__ = ["ResultRecorder"]

_FIRST_ERROR_STATUS = 500
_UNANSWERED = "unanswered"


class ResultRecorder:
    """Records the results of requests in service times, load and metrics.

    Attributes:
      last_answer_ms: Local time of the target's last answer, 0 if none.
      answers: Recent answers of the target, to find unanswered requests.
    """

    def __init__(
        self,
        service_times: waiting.ServiceTimes,
        limit: learned_limit.LearnedLimit,
        meter: load_lib.LoadMeter,
        quarantine: quarantine_lib.Quarantine,
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
    ):
        self.last_answer_ms = 0
        self.answers = unanswered.AnswerHistory()
        self._service_times = service_times
        self._learned_limit = limit
        self._meter = meter
        self._quarantine = quarantine
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def record(
        self,
        ticket: ticket_lib.Ticket,
        result: target_connections.SendResult,
        instance: targets.TargetInstance,
    ) -> None:
        """Records the result of a request.

        Args:
          ticket: The request.
          result: Its result, after the end of its body.
          instance: Instance of the target to which it was sent.
        """
        now_ms = self._clock.now_ms()
        request = ticket.request
        duration_ms = now_ms - ticket.started_ms
        self._metrics.observe("gate.service_ms", duration_ms)
        if ticket.is_overdue:
            outcome_name = type(result.outcome).__name__.lower()
            self._metrics.increment(f"gate.overdue.{outcome_name}")
        match result.outcome:
            case work.Answered(response):
                self.last_answer_ms = now_ms
                self._service_times.record(request.route, duration_ms, now_ms)
                self._record_answer(ticket, duration_ms, now_ms)
                self._learned_limit.record_answer()
                if ticket.is_overdue:
                    self._learned_limit.record_held(ticket.running_at_start)
                is_error = response.status >= _FIRST_ERROR_STATUS
                self._meter.record_failure(is_error)
                self._quarantine.record_success(
                    request.fingerprint, frozenset()
                )
            case work.Refused(reason):
                self.last_answer_ms = now_ms
                is_shed = reason is work.RefusalReason.TARGET_REFUSED
                self._meter.record_failure(is_shed)
                if is_shed and result.load and result.load.is_full:
                    self._record_overflow(ticket)
            case work.Failed(work.FailureReason.UPLOAD_BROKEN as reason):
                # It says nothing about the target.
                self._log_failure(request, reason.value, duration_ms, instance)
            case work.Failed(work.FailureReason.DEADLINE) if (
                self.last_answer_ms > ticket.started_ms
            ):
                # The target is at work, so only this request is missing.
                self.record_unanswered(ticket, instance)
            case work.Failed(reason):
                if reason is work.FailureReason.DEADLINE:
                    self._record_if_overdue(ticket)
                self._meter.record_failure(True)
                self._log_failure(request, reason.value, duration_ms, instance)

    def _record_answer(
        self, ticket: ticket_lib.Ticket, duration_ms: int, now_ms: int
    ) -> None:
        """Records an answer, by which missing ones are found.

        One that was overdue would hide for long those that are missing.
        """
        if not ticket.is_overdue:
            expected_ms = self._service_times.expected_ms(ticket.request.route)
            self.answers.record(
                ticket.started_ms, duration_ms, expected_ms, now_ms
            )

    def record_overdue(
        self,
        ticket: ticket_lib.Ticket,
        instance: targets.TargetInstance | None,
    ) -> None:
        """Records that a target at work may leave a request unanswered."""
        self._record_if_overdue(ticket)
        now_ms = self._clock.now_ms()
        self._metrics.increment("gate.overdue")
        self._log.write(
            events.Event.GATE_OVERDUE,
            request=ticket.request.request_id,
            target=None if instance is None else instance.target,
            duration_ms=now_ms - ticket.started_ms,
            left_ms=ticket.request.deadline_ms - now_ms,
        )

    def record_unanswered(
        self,
        ticket: ticket_lib.Ticket,
        instance: targets.TargetInstance | None,
    ) -> None:
        """Records a request that a target at work did not answer.

        It does not count as a failure, as routers would avoid the target then.
        """
        if not ticket.is_overdue:
            self._record_if_overdue(ticket)
        duration_ms = self._clock.now_ms() - ticket.started_ms
        self._log_failure(ticket.request, _UNANSWERED, duration_ms, instance)

    def record_cancelled(self, ticket: ticket_lib.Ticket) -> None:
        """Records a run that was ended because nobody waits any more.

        If it lasted until its deadline, the target may have left it unanswered.
        """
        latest_ms = ticket.request.deadline_ms - timing.REFUSAL_DELAY_MS
        if self._clock.now_ms() >= latest_ms and not ticket.is_overdue:
            self._record_if_overdue(ticket)

    def _record_if_overdue(self, ticket: ticket_lib.Ticket) -> None:
        """Records an overflow if a request has waited too long."""
        now_ms = self._clock.now_ms()
        expected_ms = self._service_times.measured_ms(ticket.request.route)
        waited_ms = now_ms - ticket.started_ms
        if expected_ms is not None and self.answers.is_overdue(
            waited_ms, now_ms, expected_ms
        ):
            self._record_overflow(ticket)

    def _record_overflow(self, ticket: ticket_lib.Ticket) -> None:
        self._metrics.increment("gate.overflows")
        self._learned_limit.record_overflow(
            ticket.started_ms, ticket.running_at_start, self._clock.now_ms()
        )

    def _log_failure(
        self,
        request: work.Work,
        reason: str,
        duration_ms: int,
        instance: targets.TargetInstance | None,
    ) -> None:
        self._metrics.increment(f"gate.failed.{reason}")
        self._log.write(
            events.Event.GATE_FAILED,
            request=request.request_id,
            reason=reason,
            target=None if instance is None else instance.target,
            duration_ms=duration_ms,
            left_ms=request.deadline_ms - self._clock.now_ms(),
        )
