package org.bilberrycart.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Path
import org.bilberrycart.journal.ResumePolicy

private data class ExampleCase(
    val folder: String,
    val engines: Int,
    val plainUpstreams: Int,
    val resume: ResumePolicy,
) : WithDataTestName {
    override fun dataTestName(): String = folder
}

class ExamplesTest :
    FunSpec({
        context("the example settings are valid and describe deployments of the expected size") {
            withData(
                ExampleCase("sabarmati", 17, 3, ResumePolicy.SingleEngine),
                ExampleCase("phuong-nam", 25, 3, ResumePolicy.Hedged(engines = 2)),
            ) { case ->
                val fleet = SettingsFolder.read(listOf(Path.of("../examples", case.folder)))
                    .shouldBeInstanceOf<SettingsResult.Valid<Settings>>().settings.fleet
                fleet.upstreams.values.count { it.models.isNotEmpty() } shouldBe case.engines
                fleet.upstreams.values.count { it.models.isEmpty() } shouldBe case.plainUpstreams
                fleet.dataCentres.size shouldBe 3
                fleet.organisations.size shouldBe 10
                fleet.services.values.filterIsInstance<ServiceSettings.Generation>()
                    .single().resume shouldBe case.resume
            }
        }
    })
