"""Command `confirm lost`: fences the members of a lost VM."""

from collections.abc import Iterator

from mustardloom import findings
from mustardloom import ids
from mustardloom.membership import fencing
from mustardloom.operators import orders
from mustardloom.operators import parser
from mustardloom.operators import results
from mustardloom.operators import views
from mustardloom.operators.commands import changes

__all__ = ["LossConfirmation"]


class LossConfirmation:
    """Fences the members of a VM without statements by their witnesses.

    The order is stored with its audit entry before any member is fenced.
    """

    def __init__(
        self,
        view: views.View,
        change_writer: changes.ChangeWriter,
        fencer: fencing.Fencer,
    ):
        self._view = view
        self._change_writer = change_writer
        self._fencer = fencer

    async def confirm(
        self, command: parser.ConfirmLost, author: changes.Author
    ) -> results.Result:
        """Fences all members of a VM; refused if one of them still answers.

        Raises:
          findings.FindingsError: There is no such VM.
        """
        vm = ids.VmId(command.vm.text)
        key = orders.lost_key(vm)
        seen = self._change_writer.known_version(key)
        findings.raise_if_any(self._unknown(command.vm, key))
        live_members = [
            r.member for r in self._view.members.live() if r.vm == vm
        ]
        if not live_members:
            text = f"already: no member of {vm} may serve"
            return results.AlreadyInForce(message=text)
        answers = await self._view.reports.fetch_all(live_members)
        answering = [
            member for member in live_members if answers[member] is not None
        ]
        if answering:
            text = f"refused: {answering[0]} still answers, so {vm} is not lost"
            return results.Refused(message=text)
        change = changes.Change(
            key=key,
            type=orders.LostOrder,
            value=orders.LostOrder(vm=vm, members=tuple(live_members)),
            is_in_force=lambda _: False,
            message=f"{vm} is lost; its members are fenced",
        )
        result = await self._change_writer.apply(change, author, seen)
        if not isinstance(result, results.Applied):
            return result
        return await self._fence(vm, author, result)

    async def _fence(
        self, vm: ids.VmId, author: changes.Author, applied: results.Applied
    ) -> results.Result:
        outcomes = await self._fencer.fence_lost_vm(vm)
        done = (fencing.Fenced, fencing.RecordGone)
        if all(isinstance(outcome, done) for outcome in outcomes):
            return applied
        return results.Undecided(
            message="the order is stored, but the store did not answer while"
            " the members were fenced. To repeat it safely, use"
            f" --operation {author.operation}",
            operation=author.operation,
        )

    def _unknown(self, vm: parser.Name, key: str) -> Iterator[findings.Finding]:
        known = {record.vm for record in self._view.members.by_id.values()}
        if vm.text not in known and not self._change_writer.known_version(key):
            yield from self._view.unknown_vm(vm)
