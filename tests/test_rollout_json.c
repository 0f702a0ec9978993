#include "platform/rollout_json.h"
#include "platform/store.h"
#include "tests/lib_suite.h"

START_TEST(an_order_is_read)
{
	static const char text[] = "{\"service\":\"desk\",\"target\":\"v2\","
				   "\"duration_s\":12.5,\"more\":1}";
	rollout_order_t o;

	ck_assert(rollout_json_parse_order(STR_LIT("desk"), str_from(text), &o,
					   NULL));
	ck_assert_str_eq(o.service, "desk");
	ck_assert_str_eq(o.target, "v2");
	ck_assert_int_eq(o.duration_ms, 12500);
}
END_TEST

START_TEST(faulty_orders_are_refused)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{\"service\":\"desk\",\"target\":\"v2\"}",
		"{\"service\":\"desk\",\"duration_s\":12}",
		"{\"service\":\"desk\",\"target\":\"\",\"duration_s\":12}",
		"{\"service\":\"desk\",\"target\":2,\"duration_s\":12}",
		"{\"service\":\"desk\",\"target\":\"v2\",\"duration_s\":0}",
		"{\"service\":\"desk\",\"target\":\"v2\",\"duration_s\":-1}",
		"{\"service\":\"desk\",\"target\":\"v2\",\"duration_s\":1e99}",
		"{\"service\":\"desk\",\"target\":\"v2\",\"duration_s\":\"9\"}",
		"{\"service\":\"model\",\"target\":\"v2\",\"duration_s\":12}",
		"{\"target\":\"v2\",\"duration_s\":12}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		rollout_order_t o;
		err_t err = { 0 };

		ck_assert_msg(!rollout_json_parse_order(STR_LIT("desk"),
							str_from(texts[i]), &o,
							&err),
			      "case %zu", i);
		ck_assert_str_eq(o.service, "desk");
		ck_assert_int_ne(err.detail[0], 0);
	}
}
END_TEST

START_TEST(a_record_is_read_as_written)
{
	rollout_record_t in = {
		.service = "desk",
		.target = "v2",
		.order = UINT64_MAX - 1,
		.phase = ROLLOUT_REVERTED,
		.is_moving = true,
		.term = 3,
		.conductor = UINT64_C(0xfedcba9876543210),
		.budget = 70,
		.counted = 900,
		.ends_ms = 1700000012000,
		.decided_ms = 1700000002000,
		.why = "slower",
	};
	rollout_record_t out;
	g_autofree char *text = rollout_json_write_record(&in);

	ck_assert_ptr_nonnull(strstr(text, "\"state\":\"reverted\""));
	ck_assert_ptr_nonnull(strstr(text, "\"target\":\"v2\""));
	ck_assert(rollout_json_parse_record(str_from(text), &out, NULL));
	ck_assert_str_eq(out.service, in.service);
	ck_assert_str_eq(out.target, in.target);
	ck_assert_str_eq(out.why, in.why);
	ck_assert_uint_eq(out.order, in.order);
	ck_assert_uint_eq(out.conductor, in.conductor);
	ck_assert_int_eq(out.phase, in.phase);
	ck_assert(out.is_moving);
	ck_assert_uint_eq(out.term, in.term);
	ck_assert_uint_eq(out.budget, in.budget);
	ck_assert_uint_eq(out.counted, in.counted);
	ck_assert_int_eq(out.ends_ms, in.ends_ms);
	ck_assert_int_eq(out.decided_ms, in.decided_ms);
}
END_TEST

START_TEST(faulty_records_are_refused)
{
	rollout_record_t out;

	ck_assert(!rollout_json_parse_record(STR_LIT(""), &out, NULL));
	ck_assert(!rollout_json_parse_record(
		STR_LIT("{\"service\":\"s\",\"state\":\"gone\"}"), &out, NULL));
}
END_TEST

START_TEST(keys_name_services)
{
	g_autofree char *key = store_rollout_key("desk");
	str_t service = store_rollout_service(str_from(key));

	ck_assert(str_eq(service, STR_LIT("desk")));
	ck_assert_uint_eq(store_rollout_service(store_config_key()).len, 0);
	ck_assert_uint_eq(store_rollout_service(STR_LIT("")).len, 0);
}
END_TEST

SUITE_MAIN("rollout_json", an_order_is_read, faulty_orders_are_refused,
	   a_record_is_read_as_written, faulty_records_are_refused,
	   keys_name_services)
