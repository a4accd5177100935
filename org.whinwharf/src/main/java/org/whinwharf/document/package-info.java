/**
 * The document that operators promote: its published forms, its checks, the view that a process works with, and the
 * rule by which a process takes a newer one into force.
 */
package org.whinwharf.document;
