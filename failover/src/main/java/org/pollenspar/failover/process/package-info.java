/** What lives as long as the agent: its groups, its calls to the platform, its main class. */
@NullMarked
package org.pollenspar.failover.process;

import org.jspecify.annotations.NullMarked;
