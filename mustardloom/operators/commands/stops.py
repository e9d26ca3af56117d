"""Commands `stop` and `start` for availability zones and targets."""

from collections.abc import Iterator

from mustardloom import findings
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.declarations import model
from mustardloom.membership import records
from mustardloom.operators import parser
from mustardloom.operators import reports as reports_lib
from mustardloom.operators import results
from mustardloom.operators import views
from mustardloom.operators.commands import capacity_check
from mustardloom.operators.commands import changes
from mustardloom.operators.commands import guard as guard_lib

__all__ = ["Stops"]

# A check is repeated if another stop was added to the guard meanwhile.
_CHECK_ATTEMPTS = 5


class Stops:
    """Takes availability zones and targets out of service and back."""

    def __init__(
        self,
        view: views.View,
        change_writer: changes.ChangeWriter,
        guard: guard_lib.StopGuard,
        metrics: metrics_lib.Metrics,
    ):
        self._view = view
        self._change_writer = change_writer
        self._guard = guard
        self._metrics = metrics

    async def stop(
        self, command: parser.Stop, author: changes.Author
    ) -> results.Result:
        """Takes an availability zone or a target out of service.

        Without `force` this is refused if the remaining targets lack capacity.

        Raises:
          findings.FindingsError: There is no such zone or target.
        """
        key = model.stop_key(command.kind, command.name.text)
        seen = self._change_writer.known_version(key)
        findings.raise_if_any(self._unknown(command.kind, command.name))
        change = self._change(command.kind, command.name, active=True)
        try:
            refusal = await self._check(command, change, author, seen)
        except store_lib.PlatformUnavailable as error:
            return self._change_writer.unavailable(error)
        if refusal is not None:
            return refusal
        return await self._change_writer.apply(change, author, seen)

    async def start(
        self, command: parser.Start, author: changes.Author
    ) -> results.Result:
        """Brings an availability zone or a target back into service.

        Raises:
          findings.FindingsError: There is no such zone or target.
        """
        key = model.stop_key(command.kind, command.name.text)
        seen = self._change_writer.known_version(key)
        if not seen:
            # A stored stop can be lifted although its zone or target is gone.
            findings.raise_if_any(self._unknown(command.kind, command.name))
        change = self._change(command.kind, command.name, active=False)
        return await self._change_writer.apply(change, author, seen)

    def _change(
        self, kind: model.StopKind, name: parser.Name, active: bool
    ) -> changes.Change[model.Stop]:
        stop = model.Stop(
            kind=kind,
            name=name.text,
            active=active,
            since_wall_ms=self._view.clock.wall_ms(),
        )

        def is_in_force(stored: model.Stop | None) -> bool:
            return (stored is not None and stored.active) == active

        state = "out of service" if active else "in service"
        return changes.Change(
            key=model.stop_key(kind, name.text),
            type=model.Stop,
            value=stop,
            is_in_force=is_in_force,
            message=f"{kind.value} {name.text} is {state}",
        )

    def _unknown(
        self, kind: model.StopKind, name: parser.Name
    ) -> Iterator[findings.Finding]:
        match kind:
            case model.StopKind.AVAILABILITY_ZONE:
                yield from self._view.unknown_zone(name)
            case model.StopKind.TARGET:
                yield from self._view.unknown_vm(name)

    async def _check(
        self,
        command: parser.Stop,
        change: changes.Change[model.Stop],
        author: changes.Author,
        seen: ids.Version,
    ) -> results.Refused | results.Unavailable | None:
        """Checks the capacity and adds the stop to the guard.

        Returns:
          The refusal or failure, None if the stop may be written.
        """
        for _ in range(_CHECK_ATTEMPTS):
            guard = await self._guard.read()
            await self._change_writer.refresh(model.STOPS_PREFIX)
            if self._change_writer.is_no_op(change, author):
                return None
            if not command.force:
                refusal = await self._refusal(command, guard)
                if refusal is not None:
                    return refusal
            stop = guard_lib.PendingStop(
                kind=command.kind,
                name=command.name.text,
                seen=seen,
                wall_ms=self._view.clock.wall_ms(),
            )
            if await self._guard.try_add(guard, stop):
                return None
        return results.Unavailable(
            message="nothing was changed; other stops came first each time"
        )

    async def _refusal(
        self, command: parser.Stop, guard: guard_lib.VersionedGuard
    ) -> results.Refused | None:
        view = self._view
        versions = {
            event.key: event.version
            for event in view.replica.select(model.STOPS_PREFIX)
        }
        # A pending attempt of this same stop would exclude the members that the
        # check is about.
        pending = [
            stop
            for stop in self._guard.pending(guard, versions)
            if (stop.kind, stop.name) != (command.kind, command.name.text)
        ]

        def covers(record: records.MemberRecord) -> bool:
            kind, name = command.kind, command.name.text
            return guard_lib.covers(kind, name, record)

        def is_stopped(record: records.MemberRecord) -> bool:
            is_pending = any(stop.covers(record) for stop in pending)
            return is_pending or view.configuration.is_stopped(record)

        affected = {r.service for r in view.members.live() if covers(r)}
        asked = [r for r in view.members.live() if r.service in affected]
        answers = await view.reports.fetch_all(r.member for r in asked)
        shortfalls = tuple(
            capacity_check.shortfalls(
                [group for group, _ in view.configuration.groups()],
                view.members.live(),
                is_stopped,
                covers,
                {member: _gate_requests(answers[member]) for member in answers},
            )
        )
        if not shortfalls:
            return None
        self._metrics.increment("operators.stops_refused")
        return results.Refused(
            message=_refusal_text(command, shortfalls), shortfalls=shortfalls
        )


def _gate_requests(
    received: reports_lib.ReceivedReport | None,
) -> capacity_check.GateRequests:
    if received is None:
        return capacity_check.GateRequests(None)
    gate = received.report.gate
    return capacity_check.GateRequests(gate.running + gate.queued)


def _refusal_text(
    command: parser.Stop, shortfalls: tuple[results.Shortfall, ...]
) -> str:
    name = f"{command.kind.value} {command.name.text}"
    lines = [
        f"refused: too little capacity would remain after a stop of {name}"
    ]
    for item in shortfalls:
        line = (
            f"  service {item.service}, group {item.group}: capacity for"
            f" {item.remaining} concurrent requests would remain, {item.needed}"
            f" needed ({item.running} running or queued now, plus the margin)"
        )
        if item.silent:
            line += f"; {item.silent} targets did not report and count as full"
        lines.append(line)
    lines.append("use 'force' to stop it nevertheless")
    return "\n".join(lines)
