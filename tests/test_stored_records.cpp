// Encoders and decoders of stored records: round trips, and the results for malformed values.
#include "persistence/stored_records.hpp"

#include "persistence/layout.hpp"

#include <gtest/gtest.h>

namespace heronshift::persistence {
namespace {

codec::Json json(const char* text) {
    return codec::parse(text);
}

const char* const malformed[] = {"null", "[]", "7", "\"text\"", "{}"};

TEST(StoredRecords, KeysAreMadeAndRead) {
    EXPECT_EQ(job_key("wk-000001"), "j/wk-000001");
    EXPECT_EQ(final_key("wk-000001"), "f/wk-000001");
    EXPECT_EQ(intent_key(31), "i/31");
    EXPECT_EQ(progress_key(63), "q/63");
    EXPECT_EQ(image_key(0), "c/0");
    EXPECT_EQ(learned_key(), "l/0");
    EXPECT_EQ(record_number("i/31"), 31U);
    EXPECT_EQ(name_in_key("m/n-1"), "n-1");
    for (const char* key : {"", "i", "i/", "i/x", "i/1x", "i/-1", "i/100001", "i/99999999999999999999"})
        EXPECT_EQ(record_number(key), std::nullopt) << key;
}

TEST(StoredRecords, IntentsThatCannotBeReadAreMarkedAsDamaged) {
    const auto value = encode_intents("n-1 a 1 wk-000001/3:70");
    EXPECT_EQ(value.dump(), R"({"t":"n-1 a 1 wk-000001/3:70"})");
    const auto record = decode_intents(value);
    EXPECT_EQ(record.size, 22U);
    ASSERT_EQ(record.content.intents.size(), 1U);
    EXPECT_FALSE(record.content.damaged);
    for (const char* text : malformed)
        EXPECT_TRUE(decode_intents(json(text)).content.damaged) << text;
    EXPECT_TRUE(decode_intents(json(R"({"t":7})")).content.damaged);
    EXPECT_EQ(decode_intents(json(R"({"t":"n-1 a 1 wk-x/3:70"})")).content.unproven, (std::vector<std::string>{"n-1"}));
}

TEST(StoredRecords, ProgressWithoutRangesIsLeftOut) {
    EXPECT_EQ(encode_progress({{"wk-2", "0-3"}, {"wk-1", "7"}}).dump(), R"({"wk-1":"7","wk-2":"0-3"})");
    const auto jobs = decode_progress(json(R"({"wk-2":"0-3","wk-1":7})"));
    ASSERT_EQ(jobs.size(), 1U);
    EXPECT_EQ(jobs[0].job, "wk-2");
    EXPECT_EQ(jobs[0].done, "0-3");
    for (const char* text : malformed)
        EXPECT_TRUE(decode_progress(json(text)).empty()) << text;
}

TEST(StoredRecords, EveryIndexOfAnImageRecordIsThatOfAnImage) {
    const char* const text = R"({"held":{"n-1":[0,1]},"names":[["img",0.5],["other",1.0]]})";
    const auto record = decode_images(json(text));
    EXPECT_EQ(encode_images(record).dump(), text);
    const auto damaged =
        decode_images(json(R"({"held":{"n-1":[0,1,2,9,-1,"0"],"n-2":7},"names":[["img",0.5],["other"],7]})"));
    ASSERT_EQ(damaged.images.size(), 3U);
    EXPECT_TRUE(damaged.images[0]);
    EXPECT_FALSE(damaged.images[1]);
    ASSERT_EQ(damaged.held.size(), 1U);
    EXPECT_EQ(damaged.held[0].second, (std::vector<std::size_t>{0}));
    for (const char* other : malformed)
        EXPECT_TRUE(decode_images(json(other)).held.empty()) << other;
}

TEST(StoredRecords, LearnedRatesAreWholeOrNone) {
    const char* const text =
        R"({"at":10.0,"estimated":3.0,"offered":5.0,"offeredOrdinary":2.0,"ran":4.0,"spotLosses":1.0})";
    const auto record = decode_learned(json(text));
    ASSERT_TRUE(record);
    EXPECT_EQ(encode_learned(*record).dump(), text);
    for (const char* name : {"at", "estimated", "offered", "ran", "spotLosses"}) {
        for (const auto& bad : {codec::Json(), codec::Json("1"), codec::Json(-1), codec::Json(1e12)}) {
            auto value = json(text);
            value[name] = bad;
            EXPECT_FALSE(decode_learned(value)) << name << ": " << bad.dump();
        }
    }
    auto earlier = json(text);
    earlier.erase("offeredOrdinary");
    ASSERT_TRUE(decode_learned(earlier));
    EXPECT_EQ(decode_learned(earlier)->offered_on_demand, 0);
    for (const char* other : malformed)
        EXPECT_FALSE(decode_learned(json(other))) << other;
}

TEST(StoredRecords, ADamagedCascadeKeepsItsReadableJobs) {
    EXPECT_EQ(decode_cascade(json(R"({"cancelled":["wk-000001",7,null,"wk-000002"]})")),
              (std::vector<std::string>{"wk-000001", "wk-000002"}));
    for (const char* text : malformed)
        EXPECT_TRUE(decode_cascade(json(text)).empty()) << text;
}

TEST(StoredRecords, TheEarliestLayoutIsReadAsFarAsItCanBe) {
    const auto record = decode_legacy_machine(
        "n-1", json(R"({"yard":"a","tenure":2,"tasks":["wk-000001/3:70",7,"wk-000001/4-5:70"]})"));
    EXPECT_TRUE(record.damaged); // 7 is no task, and `4-5` is a range where a single task is expected
    ASSERT_EQ(record.intents.size(), 3U);
    EXPECT_EQ(record.intents[0], (intents::Intent{"n-1", "a", 2, "wk-000001", 3, 70}));
    EXPECT_FALSE(decode_legacy_machine("n-1", json(R"({"yard":"a","tenure":2,"tasks":[]})")).damaged);
    for (const char* text : malformed)
        EXPECT_TRUE(decode_legacy_machine("n-1", json(text)).damaged) << text;
    const auto job = decode_legacy_job(json(R"({"done":"0-1","final":"done"})"));
    ASSERT_TRUE(job);
    EXPECT_EQ(job->done, "0-1");
    EXPECT_EQ(job->final, "done");
    EXPECT_FALSE(decode_legacy_job(json("[]")));
    EXPECT_THROW((void)decode_legacy_job(json(R"({"done":7})")), codec::Json::type_error);
}

} // namespace
} // namespace heronshift::persistence
