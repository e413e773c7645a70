"""Entry point of the `fescueseam` command."""

import typer

from . import change_commands, file_commands, view_commands

app = typer.Typer(
    name="fescueseam",
    help="Configure and inspect fescueseam. Exit codes: docs/reference/exit-codes.md.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
data_centre_app = typer.Typer(help="Take a data centre out of service or bring it back.")
settings_app = typer.Typer(help="Show the settings of a deployment.")

app.command()(file_commands.init)
app.command()(file_commands.check)
app.command()(change_commands.diff)
app.command()(change_commands.apply)
app.command()(change_commands.drain)
app.command()(view_commands.status)
app.command()(view_commands.explain)
app.command()(view_commands.watch)
app.add_typer(data_centre_app, name="data-centre", no_args_is_help=True)
data_centre_app.command("out")(change_commands.take_out)
data_centre_app.command("in")(change_commands.bring_in)
app.add_typer(settings_app, name="settings", no_args_is_help=True)
settings_app.callback()(lambda: None)
settings_app.command("show")(file_commands.show_settings)


def main() -> None:
    """Run the `fescueseam` command."""
    app()
