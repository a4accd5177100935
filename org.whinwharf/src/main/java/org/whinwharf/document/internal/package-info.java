/** Parts of the document package that nothing outside of it uses. */
package org.whinwharf.document.internal;
