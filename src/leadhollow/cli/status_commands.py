"""``leadhollow status``, ``leadhollow drain`` and ``leadhollow errors``."""

from __future__ import annotations

from cleo.commands.command import Command
from cleo.helpers import argument, option

from leadhollow.cli.operator_command import OperatorCommand, operator_options
from leadhollow.cli.output import print_json, print_table, print_text
from leadhollow.codes import Code
from leadhollow.state.operator_replies import DomainStatus, FollowerStatus


class StatusCommand(OperatorCommand):
    """Shows the status of the system."""

    name = "status"
    description = "Show leader, revision and each failure domain."
    options = operator_options()

    def handle(self) -> int:
        """Print the status."""
        result = self.ask(lambda client: client.status())
        if result.is_err():
            return self.fail(result.unwrap_err())
        status = result.unwrap()
        if self.option("json"):
            print_json(status)
            return 0
        leader = status.leader or "none"
        print_text(f"leader {leader}, term {status.term}, revision {status.revision}")
        print_text(
            f"items {status.items}, removed items kept {status.removed_items}, "
            f"removals forgotten up to revision {status.floor}"
        )
        print_table(
            ("FAILURE DOMAIN", "CONNECTED", "REVISION", "DAEMONS", "BEHIND", "LEASE", "SERVING"),
            [_domain_row(domain) for domain in status.domains],
        )
        if status.followers:
            print_table(
                ("REPLICA", "ENTRIES BEHIND", "BYTES BEHIND", "NO PROGRESS MS", "SILENT MS"),
                [_follower_row(follower) for follower in status.followers],
            )
        return 0


class DrainCommand(OperatorCommand):
    """Drains a backend server, or cancels its drain."""

    name = "drain"
    description = "Send a backend server away: it gets no new work, and work in progress ends."
    arguments = [argument("server", "Name of the backend server.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("cancel", None, "Take it back.", flag=True),
        *operator_options(),
    ]

    def handle(self) -> int:
        """Request the drain or its cancellation."""
        server = self.argument("server")
        draining = not self.option("cancel")
        result = self.ask(
            lambda client: client.drain(server, draining=draining, operator=self.operator)
        )
        if result.is_err():
            return self.fail(result.unwrap_err())
        if self.option("json"):
            print_json(result.unwrap())
        else:
            print_text(f"{server} {'is leaving' if draining else 'takes work again'}.")
        return 0


class ErrorsCommand(Command):
    """Lists the result codes."""

    name = "errors"
    description = "List the result numbers, or explain one."
    arguments = [argument("number", "Explain only this number.", optional=True)]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("json", None, "Print JSON.", flag=True),
        option("markdown", None, "Print the page docs/ERRORS.md.", flag=True),
    ]

    def handle(self) -> int:
        """Print the selected result codes."""
        selected_number = self.argument("number")
        codes = [
            code for code in Code if selected_number is None or str(int(code)) == selected_number
        ]
        if not codes:
            print_text(f"no such number: {selected_number}")
            return Code.COMMAND_USAGE.exit_code
        if self.option("markdown"):
            print_text(errors_page().rstrip("\n"))
        elif self.option("json"):
            print_json(
                [
                    {
                        "code": int(code),
                        "name": code.name,
                        "http_status": int(code.http_status),
                        "exit_code": code.exit_code,
                        "meaning": code.meaning,
                    }
                    for code in codes
                ]
            )
        else:
            print_table(
                ("NUMBER", "NAME", "HTTP", "EXIT", "MEANING"),
                [
                    (int(code), code.name, int(code.http_status), code.exit_code, code.meaning)
                    for code in codes
                ],
            )
        return 0


def errors_page() -> str:
    """Render the Markdown page of the result codes."""
    lines = [
        "# Result numbers",
        "",
        "Made by `leadhollow errors --markdown`; CI compares this page with the code. The hundreds",
        "digit is the class of a number and the exit code of a command that ends with it.",
        "",
        "| number | name | HTTP status | exit code | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {int(code)} | {code.name} | {int(code.http_status)} | {code.exit_code} |"
        f" {code.meaning} |"
        for code in Code
    ]
    return "\n".join(lines) + "\n"


def _follower_row(follower: FollowerStatus) -> tuple[str, ...]:
    return (
        follower.replica,
        str(follower.entries_behind),
        str(follower.bytes_behind),
        str(follower.progress_age_ms) if follower.entries_behind else "-",
        str(follower.silent_ms),
    )


def _domain_row(domain: DomainStatus) -> tuple[object, ...]:
    serving = ", ".join(
        f"{line.name} {line.version} {line.free_slots}/{line.slots} free".replace("  ", " ")
        for line in domain.serving
    )
    return (
        domain.failure_domain,
        "yes" if domain.connected else "NO",
        domain.revision,
        domain.daemons,
        " ".join(domain.behind) or "-",
        f"{domain.lease_holder} ({domain.fence})",
        serving or "-",
    )


__all__ = ["DrainCommand", "ErrorsCommand", "StatusCommand", "errors_page"]
