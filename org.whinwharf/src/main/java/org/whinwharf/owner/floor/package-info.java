/** Agreement between owners that nothing below a tier is kept while that tier is shed. */
package org.whinwharf.owner.floor;
