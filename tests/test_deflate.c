#include "net/deflate.h"

#include <stdbool.h>

#include "tests/lib_suite.h"

static GBytes *make_text(size_t len, bool is_random)
{
	guint8 *p = g_malloc(len + 1);

	for (size_t i = 0; i < len; i++)
		p[i] = is_random ? (guint8)g_random_int() : (guint8)(i % 40);
	return g_bytes_new_take(p, len);
}

START_TEST(decompression_restores_the_text)
{
	static const size_t sizes[] = { 0, 1, 511, 512, 14000, 1000000 };

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(sizes); i++) {
		g_autoptr(GBytes) text = make_text(sizes[i / 2], i % 2);
		uint32_t size;
		g_autoptr(GBytes) compressed = deflate_compress(text, &size);
		g_autoptr(GBytes) restored =
			deflate_decompress(compressed, size);

		ck_assert_ptr_nonnull(restored);
		ck_assert(g_bytes_equal(text, restored));
		ck_assert_uint_le(g_bytes_get_size(compressed),
				  g_bytes_get_size(text));
	}
}
END_TEST

START_TEST(invalid_data_and_wrong_sizes_are_refused)
{
	g_autoptr(GBytes) text = make_text(4000, false);
	uint32_t size;
	g_autoptr(GBytes) compressed = deflate_compress(text, &size);
	g_autoptr(GBytes) cut = g_bytes_new_from_bytes(
		compressed, 0, g_bytes_get_size(compressed) - 5);

	ck_assert_uint_eq(size, 4000);
	ck_assert_ptr_null(deflate_decompress(compressed, size - 1));
	ck_assert_ptr_null(deflate_decompress(compressed, size + 1));
	ck_assert_ptr_null(deflate_decompress(compressed, UINT32_MAX));
	ck_assert_ptr_null(deflate_decompress(cut, size));
	ck_assert_ptr_null(deflate_decompress(text, size));
}
END_TEST

SUITE_MAIN("deflate", decompression_restores_the_text,
	   invalid_data_and_wrong_sizes_are_refused)
