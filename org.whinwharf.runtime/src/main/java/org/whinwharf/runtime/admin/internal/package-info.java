/** Routes of the admin server. */
package org.whinwharf.runtime.admin.internal;
