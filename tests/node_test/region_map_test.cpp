#include <boost/test/unit_test.hpp>

#include "acaciapulley/node/region_map.hpp"

namespace {

acp::AllowedRegions Allowing(const std::vector<std::vector<std::string>>& lists)
{
  acp::AllowedRegions allowed;
  for (const auto& list : lists) {
    allowed.Restrict(list);
  }
  return allowed;
}

const acp::RegionsByDataCentre kRegions = { { "jawa-a", "jawa" },
                                            { "jawa-b", "jawa" },
                                            { "bali-a", "bali" } };

} // namespace

BOOST_AUTO_TEST_SUITE(region_map)

// Guards against an empty list that forbids every region, and against one of two lists that is
// ignored.
BOOST_AUTO_TEST_CASE(lists_are_intersected_and_empty_ones_restrict_nothing)
{
  BOOST_TEST(Allowing({}).AllowsAll());
  BOOST_TEST(Allowing({ {}, {} }).AllowsAll());
  BOOST_TEST(!Allowing({ {} }).AllowsNone());
  for (const auto& one : { Allowing({ { "jawa" }, {} }), Allowing({ {}, { "jawa" } }) }) {
    BOOST_TEST(one.Contains("jawa"));
    BOOST_TEST(!one.Contains("bali"));
    BOOST_TEST(!one.AllowsNone());
  }
  const auto both = Allowing({ { "jawa", "bali" }, { "bali", "timor" } });
  BOOST_TEST(both.Contains("bali"));
  BOOST_TEST(!both.Contains("jawa"));
  BOOST_TEST(!both.Contains("timor"));
  const auto none = Allowing({ { "jawa" }, { "bali" } });
  BOOST_TEST(none.AllowsNone());
  BOOST_TEST(!none.AllowsAll());
  BOOST_TEST(!none.Contains("jawa"));
  BOOST_TEST(!none.Contains("bali"));
  BOOST_TEST(Allowing({ { "jawa" }, { "bali" }, { "jawa" } }).AllowsNone());
}

// Guards against a data centre that counts as allowed because its region is not known.
BOOST_AUTO_TEST_CASE(data_centre_without_a_region_is_not_allowed)
{
  const acp::RegionMap map(kRegions);
  const auto isAllowed = map.DataCentresIn(Allowing({ { "jawa" } }));
  BOOST_TEST(isAllowed("jawa-a"));
  BOOST_TEST(isAllowed("jawa-b"));
  BOOST_TEST(!isAllowed("bali-a"));
  BOOST_TEST(!isAllowed("jawa"));
  BOOST_TEST(!isAllowed("jawa-c"));
  BOOST_TEST(!isAllowed(""));
  BOOST_TEST(!acp::RegionMap().DataCentresIn(Allowing({ { "jawa" } }))("jawa-a"));
  // An unrestricted request needs no regions.
  BOOST_TEST(!acp::RegionMap().DataCentresIn({}));
}

// Guards against regions of the settings that stay in force after a reload.
BOOST_AUTO_TEST_CASE(replaced_regions_apply_to_later_decisions)
{
  acp::RegionMap map(kRegions);
  const auto before = map.DataCentresIn(Allowing({ { "jawa" } }));
  map.Replace({ { "bali-a", "jawa" } });
  const auto after = map.DataCentresIn(Allowing({ { "jawa" } }));
  BOOST_TEST(before("jawa-a"));
  BOOST_TEST(!after("jawa-a"));
  BOOST_TEST(after("bali-a"));
}

BOOST_AUTO_TEST_SUITE_END()
