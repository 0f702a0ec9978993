#include "net/deflate.h"

#include <stdbool.h>

#include "tests/lib_suite.h"

static GBytes *text_of(size_t len, bool is_random)
{
	guint8 *p = g_malloc(len + 1);

	for (size_t i = 0; i < len; i++)
		p[i] = is_random ? (guint8)g_random_int() : (guint8)(i % 40);
	return g_bytes_new_take(p, len);
}

START_TEST(comes_back_as_it_was)
{
	static const size_t sizes[] = { 0, 1, 511, 512, 14000, 1000000 };

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(sizes); i++) {
		g_autoptr(GBytes) text = text_of(sizes[i / 2], i % 2);
		uint32_t size;
		g_autoptr(GBytes) packed = deflate_compress(text, &size);
		g_autoptr(GBytes) back = deflate_decompress(packed, size);

		ck_assert_ptr_nonnull(back);
		ck_assert(g_bytes_equal(text, back));
		ck_assert_uint_le(g_bytes_get_size(packed),
				  g_bytes_get_size(text));
	}
}
END_TEST

START_TEST(what_is_no_deflated_text_is_refused)
{
	g_autoptr(GBytes) text = text_of(4000, false);
	uint32_t size;
	g_autoptr(GBytes) packed = deflate_compress(text, &size);
	g_autoptr(GBytes) cut =
		g_bytes_new_from_bytes(packed, 0, g_bytes_get_size(packed) - 5);

	ck_assert_uint_eq(size, 4000);
	ck_assert_ptr_null(deflate_decompress(packed, size - 1));
	ck_assert_ptr_null(deflate_decompress(packed, size + 1));
	ck_assert_ptr_null(deflate_decompress(packed, UINT32_MAX));
	ck_assert_ptr_null(deflate_decompress(cut, size));
	ck_assert_ptr_null(deflate_decompress(text, size));
}
END_TEST

SUITE_MAIN("packed", comes_back_as_it_was, what_is_no_deflated_text_is_refused)
