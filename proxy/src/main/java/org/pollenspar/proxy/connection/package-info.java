/** Homes of groups: queues, connection pools, probers, and the execution of reads and writes. */
@NullMarked
package org.pollenspar.proxy.connection;

import org.jspecify.annotations.NullMarked;
