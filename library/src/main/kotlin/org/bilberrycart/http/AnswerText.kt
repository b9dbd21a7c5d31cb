package org.bilberrycart.http

import org.eclipse.jetty.client.BufferingResponseListener

/**
 * Returns the body as UTF-8, whatever charset its type names.
 *
 * `contentAsString` throws if the JVM doesn't know that charset, and then no reply would come.
 */
internal fun BufferingResponseListener.contentAsUtf8(): String =
    content?.toString(Charsets.UTF_8).orEmpty()
