package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** The root command of the command line; each subcommand is a class. */
class Bilberrycart : CliktCommand(name = "bilberrycart") {
    override fun run() = Unit
}

/** Runs the command line. */
fun main(args: Array<String>) = Bilberrycart()
    .subcommands(
        ServeCommand(),
        TryCommand(),
        TopCommand(),
        ConfigCommand(),
        CallCommand().subcommands(CallShowCommand(), CallSettleCommand()),
        LoadCommand(),
        ExperimentCommand(),
        ExperimentPoliciesCommand(),
        SoakCommand().subcommands(
            SoakPipelineCommand(),
            SoakGenerationsCommand(),
            SoakActionsCommand(),
            SoakProcessesCommand(),
        ),
        MeasureCommand().subcommands(
            MeasureCommitCommand(),
            MeasureOutageCommand(),
            MeasureConfigurationCommand(),
        ),
        CapacityCommand().subcommands(
            CapacityMetricsCommand(),
            CapacitySettingsCommand(),
            CapacityPlatformCommand(),
            CapacityRoutingCommand(),
            CapacityMembershipCommand(),
            CapacityReplicationCommand(),
        ),
        StandInCommand().subcommands(
            StandInEngineCommand(),
            StandInServiceCommand(),
            StandInPlatformCommand(),
        ),
    )
    .main(args)
