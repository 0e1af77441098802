/** Open-loop load generator that checks the guarantees to callers and reports latencies. */
@NullMarked
package org.pollenspar.load;

import org.jspecify.annotations.NullMarked;
