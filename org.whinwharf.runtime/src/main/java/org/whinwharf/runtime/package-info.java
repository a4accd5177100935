/** What all daemons share: settings, duties, logs, metrics, traces, the platform's clients and the peer network. */
package org.whinwharf.runtime;
