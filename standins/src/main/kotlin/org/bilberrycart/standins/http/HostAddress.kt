package org.bilberrycart.standins.http

/**
 * Where a stand-in listens.
 *
 * @property port the port for requests; 0 for any free one.
 * @property controlPort the port that takes `/standin` requests even while dead; 0 for any.
 * @property threads the largest number of HTTP threads.
 */
data class HostAddress(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val controlPort: Int = 0,
    val threads: Int,
)
