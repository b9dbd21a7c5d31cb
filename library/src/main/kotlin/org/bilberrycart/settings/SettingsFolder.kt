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
     * Reads the settings of one node from [paths], which are folders or files.
     *
     * Paths are merged in the given order, and the `.json` files of a folder in the order of their
     * names.
     */
    public fun read(paths: List<Path>): SettingsResult<Settings> = load(paths, SettingsReader::read)

    /** Reads the settings that all nodes share from [paths], like [read]. */
    public fun readFleet(paths: List<Path>): SettingsResult<FleetSettings> =
        load(paths, SettingsReader::readFleet)

    private fun <T> load(
        paths: List<Path>,
        parse: (List<SettingsFile>) -> SettingsResult<T>,
    ): SettingsResult<T> {
        val loaded = paths.flatMap(::loadPath)
        val faults = loaded.filterIsInstance<LoadResult.Failure>().map { it.fault }
        return when {
            faults.isNotEmpty() -> SettingsResult.Invalid(faults.toPersistentList())
            else -> parse(loaded.filterIsInstance<LoadResult.Success>().map { it.file })
        }
    }

    private sealed class LoadResult {
        data class Success(val file: SettingsFile) : LoadResult()

        data class Failure(val fault: SettingsFault) : LoadResult()
    }

    private fun loadPath(path: Path): List<LoadResult> = try {
        when {
            path.isDirectory() -> loadFolder(path)
            path.isRegularFile() -> listOf(loadFile(path))
            else -> listOf(failure(path, "a folder or file", "nothing"))
        }
    } catch (e: IOException) {
        listOf(failure(path, "a readable folder or file", e.toString()))
    }

    private fun loadFolder(folder: Path): List<LoadResult> {
        val files = folder.listDirectoryEntries()
            .filter { it.extension == EXTENSION && Files.isRegularFile(it) }
            .sortedBy { it.name }
        return when {
            files.isEmpty() -> listOf(failure(folder, "a folder with .$EXTENSION files", "none"))
            else -> files.map(::loadFile)
        }
    }

    private fun loadFile(path: Path): LoadResult = try {
        when {
            path.fileSize() > SettingsParser.MAX_FILE_SIZE ->
                failure(path, "at most ${SettingsParser.MAX_FILE_SIZE} bytes", "${path.fileSize()}")

            else -> LoadResult.Success(SettingsFile(path.toString(), path.readText()))
        }
    } catch (e: IOException) {
        failure(path, "a readable file in UTF-8", e.toString())
    }

    private fun failure(path: Path, expected: String, found: String): LoadResult =
        LoadResult.Failure(SettingsFault(path.toString(), "", expected, found))
}
