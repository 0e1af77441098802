/** The failover agent: a process that replaces failed primaries of database groups. */
@NullMarked
package org.pollenspar.failover.process;

import org.jspecify.annotations.NullMarked;
