#include "mulberryvalve/app/services/operator_service.h"

#include <utility>

namespace mulberryvalve {
OperatorService::OperatorService(OperatorServicePorts aPorts,
                                 Milliseconds aAppendTimeout)
  : mPorts(std::move(aPorts))
  , mAppendTimeout(aAppendTimeout)
  , mAudit(mPorts.mLog, mPorts.mShards)
{
}

Result<Offset> OperatorService::Change(const Record& aRecord)
{
  if (!mPorts.mConfig.Reachable()) {
    return Fail(FailureKind::kLogUnavailable, "platform", "nothing changed");
  }
  std::vector<Record> records{ aRecord };
  const Result<Offset> at = mPorts.mWriter.AppendFolded(
    std::move(records), Epoch(), mPorts.mClock.Now() + mAppendTimeout);
  if (!at) {
    return at.error();
  }
  const auto verdict =
    mPorts.mConfig.Read([&](const ConfigStateMachine& aConfigState) {
      return aConfigState.VerdictAt(at.value());
    });
  if (!verdict) {
    return Fail(FailureKind::kUnknownOutcome, "platform", "verdict forgotten");
  }
  if (verdict->mVerdict == ApplyResult::kConflict) {
    return Fail(FailureKind::kConflict,
                "expected",
                DescribeWinner(aRecord, verdict->mWinner));
  }
  if (verdict->mVerdict != ApplyResult::kApplied) {
    return Fail(FailureKind::kUnsigned,
                "digest",
                std::string(kApplyResultNames.Name(verdict->mVerdict)));
  }
  return at.value();
}

std::string OperatorService::DescribeWinner(const Record& aRecord,
                                            Offset aWinner) const
{
  const std::string at = " at offset " + std::to_string(aWinner.Value());
  return mPorts.mConfig.Read(
    [&](const ConfigStateMachine& aConfigState) -> std::string {
      if (const auto* change = std::get_if<DomainChanged>(&aRecord)) {
        const DomainStatus status = aConfigState.Domain(change->mDomain);
        return "won by " + status.mOperator.Text() + ", who set " +
               change->mDomain.Text() + " " +
               std::string(kDomainStateNames.Name(status.mState)) + at;
      }
      if (std::holds_alternative<BundlePublished>(aRecord)) {
        const PublishedBundle* newest =
          aConfigState.Published(aConfigState.Newest());
        return "won by version " +
               std::to_string(aConfigState.Newest().Value()) +
               (newest == nullptr ? "" : " of " + newest->mOperator.Text()) +
               at;
      }
      return "version " +
             std::to_string(aConfigState.InForce().mVersion.Value()) +
             " is in force" + at;
    });
}

PublishOutcome OperatorService::Publish(const std::string& aDocument,
                                        BundleVersion aExpected,
                                        const OperatorId& aOperator)
{
  CheckedBundle checked = mPorts.mBundles.Read(aDocument);
  if (!checked.mFaults.empty()) {
    return PublishFailure{ Fail(FailureKind::kInvalidInput,
                                "bundle",
                                std::to_string(checked.mFaults.size()) +
                                  " faults"),
                           std::move(checked.mFaults) };
  }
  const BundleVersion version = checked.mBundle.mVersion;
  const Result<Offset> at =
    Change(BundlePublished{ version, aExpected, aDocument, aOperator });
  if (!at) {
    return PublishFailure{ at.error(), {} };
  }
  return PublishReceipt{ version, BundleDigest(aDocument), at.value() };
}

Result<Offset> OperatorService::SignOff(BundleVersion aVersion,
                                        const std::string& aDigest,
                                        const OperatorId& aOperator)
{
  return Change(BundleSignedOff{ aVersion, aDigest, aOperator });
}

Result<PublishedBundle> OperatorService::Published(BundleVersion aVersion)
{
  return mPorts.mConfig.Read(
    [&](const ConfigStateMachine& aConfigState) -> Result<PublishedBundle> {
      const BundleInForce& inForce = aConfigState.InForce();
      const bool wantsInForce = aVersion == BundleVersion();
      const PublishedBundle* bundle =
        aConfigState.Published(wantsInForce ? inForce.mVersion : aVersion);
      if (bundle != nullptr) {
        return *bundle;
      }
      if (wantsInForce && inForce.mVersion != BundleVersion()) {
        return PublishedBundle{ inForce.mVersion,
                                inForce.mDocument,
                                inForce.mDigest,
                                OperatorId(),
                                inForce.mOffset };
      }
      return Fail(
        FailureKind::kNotFound, "version", std::to_string(aVersion.Value()));
    });
}

Result<Offset> OperatorService::ChangeDomain(const DomainChanged& aChange)
{
  if (!mPorts.mShards.HasDomain(aChange.mDomain)) {
    return Fail(FailureKind::kInvalidInput, "domain", aChange.mDomain.Text());
  }
  return Change(aChange);
}

std::vector<DomainView> OperatorService::Domains()
{
  std::vector<DomainView> views;
  mPorts.mConfig.Read([&](const ConfigStateMachine& aConfigState) {
    for (const DomainId& domain : mPorts.mShards.Domains()) {
      views.push_back(DomainView{ domain, aConfigState.Domain(domain) });
    }
    return true;
  });
  return views;
}

InstanceStatus OperatorService::Status()
{
  InstanceStatus status = mPorts.mStatus();
  status.mNewestBundle =
    mPorts.mConfig.Read([](const ConfigStateMachine& aConfigState) {
      return aConfigState.Newest();
    });
  return status;
}

std::vector<WorkerSpec> OperatorService::Workers()
{
  return mPorts.mDirectory.All();
}

Result<AuditPage> OperatorService::Audit(size_t aLimit)
{
  return mAudit.Read(aLimit);
}

} // namespace mulberryvalve
