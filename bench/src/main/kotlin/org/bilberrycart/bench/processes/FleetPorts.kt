package org.bilberrycart.bench.processes

import java.net.InetAddress
import java.net.ServerSocket

/** The loopback ports on which the processes of a run listen. */
data class FleetPorts(
    val callers: List<Int>,
    val operators: List<Int>,
    val peers: List<Int>,
    val engines: List<Int>,
    val engineControls: List<Int>,
    val services: List<Int>,
    val serviceControls: List<Int>,
    val platform: Int,
) {
    companion object {
        private const val PORTS_OF_NODE = 3
        private const val PORTS_OF_STAND_IN = 2

        /**
         * Returns distinct ports that are free at the time of the call. They are not reserved, so
         * another process could take one before a process of the run listens on it.
         */
        fun free(nodes: Int, engines: Int, services: Int): FleetPorts {
            val count = PORTS_OF_NODE * nodes + PORTS_OF_STAND_IN * (engines + services) + 1
            val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            val ports = sockets.map { it.localPort }.iterator()
            sockets.forEach { it.close() }
            fun take(number: Int) = List(number) { ports.next() }
            return FleetPorts(
                callers = take(nodes),
                operators = take(nodes),
                peers = take(nodes),
                engines = take(engines),
                engineControls = take(engines),
                services = take(services),
                serviceControls = take(services),
                platform = ports.next(),
            )
        }
    }
}
