/** Agreement between the owners of a service to keep no request below a tier while that tier is shed. */
package org.whinwharf.owner.floor;
