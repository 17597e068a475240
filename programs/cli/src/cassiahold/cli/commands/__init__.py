"""Subcommands of ``cassiahold``, one module for each."""

from cassiahold.cli.base import Command
from cassiahold.cli.commands.apply import ApplyCommand
from cassiahold.cli.commands.certificates import CertificatesCommand
from cassiahold.cli.commands.check import CheckCommand
from cassiahold.cli.commands.diff import DiffCommand
from cassiahold.cli.commands.drain import DrainCommand, UndrainCommand
from cassiahold.cli.commands.explain import ExplainCommand
from cassiahold.cli.commands.get import GetCommand
from cassiahold.cli.commands.key import KeyCommand
from cassiahold.cli.commands.members import MembersCommand
from cassiahold.cli.commands.status import StatusCommand
from cassiahold.cli.commands.why import WhyCommand

COMMANDS: tuple[Command, ...] = (
    CheckCommand(),
    ApplyCommand(),
    DiffCommand(),
    GetCommand(),
    StatusCommand(),
    WhyCommand(),
    DrainCommand(),
    UndrainCommand(),
    KeyCommand(),
    MembersCommand(),
    CertificatesCommand(),
    ExplainCommand(),
)
