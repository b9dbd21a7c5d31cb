package org.bilberrycart.settings

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.fileSize
import kotlin.io.path.isDirectory
import kotlin.io.path.isRegularFile
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlinx.collections.immutable.toPersistentList

/** Reads settings from folders and files on disk. */
public object SettingsFolder {
    private const val EXTENSION = "json"

    /**
     * Reads the settings of one node from [paths]: folders, whose `.json` files are merged in the
     * order of their names, and single files, in the given order.
     */
    public fun read(paths: List<Path>): SettingsResult<Settings> = load(paths, SettingsReader::read)

    /** Reads the settings that all nodes share from [paths]. */
    public fun readFleet(paths: List<Path>): SettingsResult<FleetSettings> =
        load(paths, SettingsReader::readFleet)

    private fun <T> load(
        paths: List<Path>,
        next: (List<SettingsFile>) -> SettingsResult<T>,
    ): SettingsResult<T> {
        val loaded = paths.flatMap(::loadPath)
        val faults = loaded.filterIsInstance<Loaded.Faulty>().map { it.fault }
        return when {
            faults.isNotEmpty() -> SettingsResult.Invalid(faults.toPersistentList())
            else -> next(loaded.filterIsInstance<Loaded.Whole>().map { it.file })
        }
    }

    private sealed class Loaded {
        data class Whole(val file: SettingsFile) : Loaded()

        data class Faulty(val fault: SettingsFault) : Loaded()
    }

    private fun loadPath(path: Path): List<Loaded> = try {
        when {
            path.isDirectory() -> loadFolder(path)
            path.isRegularFile() -> listOf(loadFile(path))
            else -> listOf(faulty(path, "a folder or file", "nothing"))
        }
    } catch (e: IOException) {
        listOf(faulty(path, "a readable folder or file", e.toString()))
    }

    private fun loadFolder(folder: Path): List<Loaded> {
        val files = folder.listDirectoryEntries()
            .filter { it.extension == EXTENSION && Files.isRegularFile(it) }
            .sortedBy { it.name }
        return when {
            files.isEmpty() -> listOf(faulty(folder, "a folder with .$EXTENSION files", "none"))
            else -> files.map(::loadFile)
        }
    }

    private fun loadFile(path: Path): Loaded = try {
        when {
            path.fileSize() > SettingsParser.FILE_LIMIT ->
                faulty(path, "at most ${SettingsParser.FILE_LIMIT} bytes", "${path.fileSize()}")

            else -> Loaded.Whole(SettingsFile(path.toString(), path.readText()))
        }
    } catch (e: IOException) {
        faulty(path, "a readable file in UTF-8", e.toString())
    }

    private fun faulty(path: Path, expected: String, found: String): Loaded =
        Loaded.Faulty(SettingsFault(path.toString(), "", expected, found))
}
