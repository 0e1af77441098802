/** The table language: statements, expressions and results. */
@NullMarked
package org.pollenspar.standin.request;

import org.jspecify.annotations.NullMarked;
