"""Options that several commands share: their names, environment variables and help texts."""

import click

settings_option = click.option(
    "--settings", envvar="FINCHCART_SETTINGS", type=click.Path(), help="the JSON5 settings file"
)
log_option = click.option("--log", type=click.Choice(["text", "json"]), default="text", show_default=True)
