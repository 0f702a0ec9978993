#include "net/proof.h"

#include <arpa/inet.h>
#include <glib.h>

/* Adds a hello after its length, so that the two hellos are delimited. */
static void add_hello(GHmac *hmac, const Papaya__Hello *hello)
{
	size_t size = papaya__hello__get_packed_size(hello);
	uint32_t prefix = htonl((uint32_t)size);
	g_autofree uint8_t *bytes = g_malloc(size + 1);

	papaya__hello__pack(hello, bytes);
	g_hmac_update(hmac, (const guchar *)&prefix, sizeof(prefix));
	g_hmac_update(hmac, bytes, (gssize)size);
}

void proof_compute(str_t secret, proof_side_t side, const Papaya__Hello *own,
		   const Papaya__Hello *other, uint8_t mac[PROOF_SIZE])
{
	g_autoptr(GHmac) hmac = g_hmac_new(
		G_CHECKSUM_SHA256, (const guchar *)secret.ptr, secret.len);
	uint8_t label = side == PROOF_CONNECTOR ? 'c' : 'a';
	gsize size = PROOF_SIZE;

	g_hmac_update(hmac, &label, sizeof(label));
	add_hello(hmac, own);
	add_hello(hmac, other);
	g_hmac_get_digest(hmac, mac, &size);
}

bool proof_is_equal(const uint8_t expected[PROOF_SIZE], const uint8_t *mac,
		    size_t len)
{
	return str_eq_const_time((str_t){ (const char *)mac, len },
				 (str_t){ (const char *)expected, PROOF_SIZE });
}
