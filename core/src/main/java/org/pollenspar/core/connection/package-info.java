/** Database connections and caller sessions: pools, routing, log positions, admission control. */
@NullMarked
package org.pollenspar.core.connection;

import org.jspecify.annotations.NullMarked;
