/** What lives as long as the process: hosts, errors, invariants, the time line, resources. */
@NullMarked
package org.pollenspar.core.process;

import org.jspecify.annotations.NullMarked;
