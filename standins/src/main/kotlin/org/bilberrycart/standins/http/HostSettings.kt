package org.bilberrycart.standins.http

/**
 * The addresses and threads of a stand-in's HTTP server.
 *
 * @property port the port for requests; 0 for any free one.
 * @property controlPort the port for `/standin` requests, also while dead; 0 for any free one.
 * @property threads the largest number of HTTP threads.
 */
data class HostSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val controlPort: Int = 0,
    val threads: Int,
)
