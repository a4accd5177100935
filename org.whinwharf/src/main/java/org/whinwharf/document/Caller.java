package org.whinwharf.document;

import org.whinwharf.wire.schema.Tier;

/**
 * Who sends a request, as its credential tells.
 *
 * @param organisation name of the organisation
 * @param weight share of a tier that the organisation gets, relative to the others
 * @param tier tier of requests under the credential
 */
public record Caller(String organisation, int weight, Tier tier) {}
