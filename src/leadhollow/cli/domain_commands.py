"""``leadhollow domain``: evacuates, restores and lists failure domains."""

from __future__ import annotations

import getpass

from cleo.helpers import argument

from leadhollow.cli.output import print_failure, print_json, print_table, print_text
from leadhollow.cli.replica_command import ReplicaCommand, json_option, replica_argument
from leadhollow.wire.generated.ttypes import (
    DomainOrder,
    DomainQuery,
    DomainStanding,
    DomainStandings,
)

HEADINGS = ("DOMAIN", "STATE", "SINCE_S", "REVISION", "TOLD ENTRIES", "ENGINES", "RUNNING")


class _DomainOrderCommand(ReplicaCommand):
    """Base class of the commands that evacuate or restore a failure domain."""

    arguments = [  # noqa: RUF012
        replica_argument(),
        argument("domain", "Failure domain, as the settings name it."),
    ]
    options = [json_option()]  # noqa: RUF012
    evacuated = False
    done = ""

    def handle(self) -> int:
        """Give the order; it is accepted once a majority has it on disk."""
        domain = self.argument("domain")
        result = self.ask(DomainOrder(domain, self.evacuated, getpass.getuser()))
        if result.is_err():
            return print_failure(result.unwrap_err())
        standings: DomainStandings = result.unwrap()
        found = next(one for one in standings.domains if one.failure_domain == domain)
        if self.option("json"):
            print_json(_document(found))
        else:
            print_text(f"{domain} is {self.done}.")
        return 0


class DomainEvacuateCommand(_DomainOrderCommand):
    """Evacuates a failure domain."""

    name = "domain evacuate"
    description = "Send nothing more to the engines and servers of a failure domain."
    help = "Requests under way there end undisturbed. The order holds until the domain is restored."
    evacuated = True
    done = "evacuated"


class DomainRestoreCommand(_DomainOrderCommand):
    """Restores a failure domain."""

    name = "domain restore"
    description = "Use the engines and servers of an evacuated failure domain again."
    done = "in use"


class DomainListCommand(ReplicaCommand):
    """Lists the failure domains."""

    name = "domain list"
    description = "List the failure domains: since when evacuated, told to which entries."
    help = (
        "TOLD ENTRIES counts the entries that follow this replica; ask each replica for all of "
        "them. RUNNING counts the requests at the domain's engines by their last reports."
    )
    arguments = [replica_argument()]  # noqa: RUF012
    options = [json_option()]  # noqa: RUF012

    def handle(self) -> int:
        """Print one line per failure domain."""
        result = self.ask(DomainQuery(getpass.getuser()))
        if result.is_err():
            return print_failure(result.unwrap_err())
        standings: DomainStandings = result.unwrap()
        documents = [_document(found) for found in standings.domains or ()]
        if self.option("json"):
            print_json(documents)
            return 0
        rows = [
            (
                found["failure_domain"],
                "evacuated" if found["evacuated"] else "in use",
                "" if found["since_s"] is None else found["since_s"],
                "" if found["revision"] is None else found["revision"],
                f"{found['told_entries']} of {found['entries']}",
                found["engines"],
                found["running"],
            )
            for found in documents
        ]
        print_table(HEADINGS, rows)
        return 0


def _document(found: DomainStanding) -> dict[str, object]:
    evacuated = bool(found.evacuated)
    return {
        "failure_domain": found.failure_domain,
        "evacuated": evacuated,
        "since_s": round(found.age_ms / 1000, 1) if evacuated else None,
        "revision": found.revision if evacuated else None,
        "entries": found.entries,
        "told_entries": found.told_entries,
        "engines": found.engines,
        "running": found.running,
    }


__all__ = ["DomainEvacuateCommand", "DomainListCommand", "DomainRestoreCommand"]
